/** Messages between nodes and their MessagePack codec. */
@NullMarked
package org.acaciapond.mesh.peer;

import org.jspecify.annotations.NullMarked;
