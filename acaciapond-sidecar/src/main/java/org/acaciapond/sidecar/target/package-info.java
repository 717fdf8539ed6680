/** The target beside the node: its life, its slots and its connections. */
@NullMarked
package org.acaciapond.sidecar.target;

import org.jspecify.annotations.NullMarked;
