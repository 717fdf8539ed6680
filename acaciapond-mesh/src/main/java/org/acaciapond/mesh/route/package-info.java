/** Desired state as nodes hold it, and the match of a request to a route. */
@NullMarked
package org.acaciapond.mesh.route;

import org.jspecify.annotations.NullMarked;
