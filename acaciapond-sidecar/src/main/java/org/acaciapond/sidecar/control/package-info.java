/** HTTP endpoints for check-ins of the target, readiness and metrics. */
@NullMarked
package org.acaciapond.sidecar.control;

import org.jspecify.annotations.NullMarked;
