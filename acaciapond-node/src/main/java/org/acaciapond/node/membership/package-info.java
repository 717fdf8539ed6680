/** Exchange of announcements with other nodes. */
@NullMarked
package org.acaciapond.node.membership;

import org.jspecify.annotations.NullMarked;
