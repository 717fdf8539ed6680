/** Randomized soak: real nodes as processes, with faults injected from outside them. */
@NullMarked
package org.acaciapond.sidecar.soak;

import org.jspecify.annotations.NullMarked;
