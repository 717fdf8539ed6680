/** The process in the slot of a host. */
@NullMarked
package org.acaciapond.node;

import org.jspecify.annotations.NullMarked;
