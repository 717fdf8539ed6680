/** Experiments with calls through two nodes. */
@NullMarked
package org.acaciapond.bench.calls;

import org.jspecify.annotations.NullMarked;
