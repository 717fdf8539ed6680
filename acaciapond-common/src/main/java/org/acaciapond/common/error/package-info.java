/** Base of the coded, unchecked exceptions of all layers. */
@NullMarked
package org.acaciapond.common.error;

import org.jspecify.annotations.NullMarked;
