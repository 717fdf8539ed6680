/** Connections to other nodes and what they tell. */
@NullMarked
package org.acaciapond.sidecar.peer;

import org.jspecify.annotations.NullMarked;
