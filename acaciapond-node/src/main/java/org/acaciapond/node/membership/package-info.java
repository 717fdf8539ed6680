/** Runs the membership protocol over peer connections and announces the local target. */
@NullMarked
package org.acaciapond.node.membership;

import org.jspecify.annotations.NullMarked;
