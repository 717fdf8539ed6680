/** HTTP target for the demo and for manual tests. */
@NullMarked
package org.acaciapond.bench.target;

import org.jspecify.annotations.NullMarked;
