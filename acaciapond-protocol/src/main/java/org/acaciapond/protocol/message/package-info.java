/** Messages that nodes send to each other. */
@NullMarked
package org.acaciapond.protocol.message;

import org.jspecify.annotations.NullMarked;
