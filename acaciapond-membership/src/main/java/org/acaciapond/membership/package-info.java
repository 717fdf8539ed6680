/** State machine of the gossip membership protocol, with its messages and settings. */
@NullMarked
package org.acaciapond.membership;

import org.jspecify.annotations.NullMarked;
