/** The process beside a target: wiring, start and stop. */
@NullMarked
package org.acaciapond.sidecar;

import org.jspecify.annotations.NullMarked;
