/** Experiments on the pace of calls to one target, in virtual time with the classes of the node. */
@NullMarked
package org.acaciapond.bench.pace;

import org.jspecify.annotations.NullMarked;
