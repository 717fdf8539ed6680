/** Retry budget that bounds the load added by retries. */
@NullMarked
package org.acaciapond.routing.retry;

import org.jspecify.annotations.NullMarked;
