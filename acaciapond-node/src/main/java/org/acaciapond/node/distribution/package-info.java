/** Arrival of new configuration versions at the node. */
@NullMarked
package org.acaciapond.node.distribution;

import org.jspecify.annotations.NullMarked;
