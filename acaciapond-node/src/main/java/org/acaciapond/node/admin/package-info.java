/** Loopback listener for health, status and the announcements of the target. */
@NullMarked
package org.acaciapond.node.admin;

import org.jspecify.annotations.NullMarked;
