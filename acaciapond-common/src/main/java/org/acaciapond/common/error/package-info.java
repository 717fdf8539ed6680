/** Base types of all unchecked exceptions and their error codes. */
@NullMarked
package org.acaciapond.common.error;

import org.jspecify.annotations.NullMarked;
