/** Small targets for the demo and the experiments. */
@NullMarked
package org.acaciapond.bench.target;

import org.jspecify.annotations.NullMarked;
