/** Parts of the membership state machine. */
@NullMarked
package org.acaciapond.membership.internal;

import org.jspecify.annotations.NullMarked;
