/** Transport of framed messages over TCP connections between nodes. */
@NullMarked
package org.acaciapond.protocol.transport;

import org.jspecify.annotations.NullMarked;
