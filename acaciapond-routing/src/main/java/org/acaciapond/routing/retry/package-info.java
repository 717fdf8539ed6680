/** Budget of retries. */
@NullMarked
package org.acaciapond.routing.retry;

import org.jspecify.annotations.NullMarked;
