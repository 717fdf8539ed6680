/** Selection of the target of a call: load balancing, outlier detection and version splits. */
@NullMarked
package org.acaciapond.routing.target;

import org.jspecify.annotations.NullMarked;
