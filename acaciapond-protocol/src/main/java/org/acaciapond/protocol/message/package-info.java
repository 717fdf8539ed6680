/** Messages between nodes. */
@NullMarked
package org.acaciapond.protocol.message;

import org.jspecify.annotations.NullMarked;
