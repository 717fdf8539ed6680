/** Access to the local target: its status, admission of calls and its connections. */
@NullMarked
package org.acaciapond.sidecar.target;

import org.jspecify.annotations.NullMarked;
