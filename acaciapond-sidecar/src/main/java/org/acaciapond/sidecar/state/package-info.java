/** Desired state and node records from the store and from peers. */
@NullMarked
package org.acaciapond.sidecar.state;

import org.jspecify.annotations.NullMarked;
