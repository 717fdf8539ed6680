/** Desired state of the mesh, and the matching of requests to its routes. */
@NullMarked
package org.acaciapond.mesh.route;

import org.jspecify.annotations.NullMarked;
