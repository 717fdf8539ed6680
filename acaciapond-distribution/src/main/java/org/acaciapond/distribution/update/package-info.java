/** Configuration content by scope, the updates that nodes exchange, and their validation. */
@NullMarked
package org.acaciapond.distribution.update;

import org.jspecify.annotations.NullMarked;
