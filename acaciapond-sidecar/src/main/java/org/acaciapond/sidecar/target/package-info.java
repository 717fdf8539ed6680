/** Access to the target beside the node: its status, admission of calls and its connections. */
@NullMarked
package org.acaciapond.sidecar.target;

import org.jspecify.annotations.NullMarked;
