/** Protocol between nodes: messages, their MessagePack codec, and decisions based on peers. */
@NullMarked
package org.acaciapond.mesh.peer;

import org.jspecify.annotations.NullMarked;
