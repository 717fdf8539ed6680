/** Calls between nodes, their responses and outcomes. */
@NullMarked
package org.acaciapond.mesh.call;

import org.jspecify.annotations.NullMarked;
