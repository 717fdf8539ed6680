/** Stand-in for the table service and the object store of the platform. */
@NullMarked
package org.acaciapond.platform;

import org.jspecify.annotations.NullMarked;
