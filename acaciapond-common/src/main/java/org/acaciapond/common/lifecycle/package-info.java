/** Services with start and stop. */
@NullMarked
package org.acaciapond.common.lifecycle;

import org.jspecify.annotations.NullMarked;
