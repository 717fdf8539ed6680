/** Choice of the target of a call. */
@NullMarked
package org.acaciapond.routing.target;

import org.jspecify.annotations.NullMarked;
