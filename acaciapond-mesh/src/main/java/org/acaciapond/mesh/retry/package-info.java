/** Retry budget, and the attempt latencies that decide on hedged attempts. */
@NullMarked
package org.acaciapond.mesh.retry;

import org.jspecify.annotations.NullMarked;
