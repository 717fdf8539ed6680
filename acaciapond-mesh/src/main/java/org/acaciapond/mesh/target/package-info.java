/** Status and load of targets, and the selection of a target for a request. */
@NullMarked
package org.acaciapond.mesh.target;

import org.jspecify.annotations.NullMarked;
