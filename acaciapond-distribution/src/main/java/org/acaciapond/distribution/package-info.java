/** Distribution decisions. */
@NullMarked
package org.acaciapond.distribution;

import org.jspecify.annotations.NullMarked;
