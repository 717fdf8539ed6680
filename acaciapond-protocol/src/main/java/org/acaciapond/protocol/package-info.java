/** Messages between nodes, codec, framing and connections. */
@NullMarked
package org.acaciapond.protocol;

import org.jspecify.annotations.NullMarked;
