/** Distribution of configuration versions to and between nodes. */
@NullMarked
package org.acaciapond.node.distribution;

import org.jspecify.annotations.NullMarked;
