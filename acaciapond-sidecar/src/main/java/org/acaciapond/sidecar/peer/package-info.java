/** Connections to other nodes, the targets known through them, and the exchange of state. */
@NullMarked
package org.acaciapond.sidecar.peer;

import org.jspecify.annotations.NullMarked;
