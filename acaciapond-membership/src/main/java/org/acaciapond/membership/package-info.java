/** Membership decisions. */
@NullMarked
package org.acaciapond.membership;

import org.jspecify.annotations.NullMarked;
