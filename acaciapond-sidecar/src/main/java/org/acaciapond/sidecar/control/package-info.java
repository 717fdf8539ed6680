/** Check-ins, readiness and metrics. */
@NullMarked
package org.acaciapond.sidecar.control;

import org.jspecify.annotations.NullMarked;
