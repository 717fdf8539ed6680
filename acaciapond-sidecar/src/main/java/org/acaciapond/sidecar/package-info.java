/** Sidecar node process: entry point, wiring, start and stop. */
@NullMarked
package org.acaciapond.sidecar;

import org.jspecify.annotations.NullMarked;
