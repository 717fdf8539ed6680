/** Steady calls to one service, for the demo and for trials by hand. */
@NullMarked
package org.acaciapond.bench.load;

import org.jspecify.annotations.NullMarked;
