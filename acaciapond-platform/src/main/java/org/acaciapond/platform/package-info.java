/** Simulated platform: an HTTP server with an in-memory table service and object store. */
@NullMarked
package org.acaciapond.platform;

import org.jspecify.annotations.NullMarked;
