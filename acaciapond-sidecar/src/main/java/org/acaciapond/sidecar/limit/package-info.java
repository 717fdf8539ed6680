/** Limits of client accounts that all nodes keep together. */
@NullMarked
package org.acaciapond.sidecar.limit;

import org.jspecify.annotations.NullMarked;
