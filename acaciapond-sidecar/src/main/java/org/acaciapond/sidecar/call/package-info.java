/** Routing of requests of clients and of the local target, with retries and hedged attempts. */
@NullMarked
package org.acaciapond.sidecar.call;

import org.jspecify.annotations.NullMarked;
