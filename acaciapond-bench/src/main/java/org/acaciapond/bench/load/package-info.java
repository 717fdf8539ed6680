/** Load at a constant rate for the demo and for manual tests. */
@NullMarked
package org.acaciapond.bench.load;

import org.jspecify.annotations.NullMarked;
