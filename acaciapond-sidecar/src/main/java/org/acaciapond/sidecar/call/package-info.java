/** Requests of clients beside the node, from reading to the answer. */
@NullMarked
package org.acaciapond.sidecar.call;

import org.jspecify.annotations.NullMarked;
