/** MessagePack codecs of the messages between nodes. */
@NullMarked
package org.acaciapond.protocol.codec;

import org.jspecify.annotations.NullMarked;
