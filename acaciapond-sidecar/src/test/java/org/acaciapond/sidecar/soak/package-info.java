/** Randomized soak test with nodes in separate processes and injected faults. */
@NullMarked
package org.acaciapond.sidecar.soak;

import org.jspecify.annotations.NullMarked;
