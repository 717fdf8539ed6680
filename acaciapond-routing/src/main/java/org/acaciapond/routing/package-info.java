/** Request path decisions. */
@NullMarked
package org.acaciapond.routing;

import org.jspecify.annotations.NullMarked;
