/** Matching of paths to routes. */
@NullMarked
package org.acaciapond.routing.route;

import org.jspecify.annotations.NullMarked;
