/** Matching of request paths to the routes of a service. */
@NullMarked
package org.acaciapond.routing.route;

import org.jspecify.annotations.NullMarked;
