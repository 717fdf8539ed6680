/** Stand-in for the table service and the object store. */
@NullMarked
package org.acaciapond.platform;

import org.jspecify.annotations.NullMarked;
