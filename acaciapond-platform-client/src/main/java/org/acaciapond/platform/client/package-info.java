/** Client of the table service and the object store. */
@NullMarked
package org.acaciapond.platform.client;

import org.jspecify.annotations.NullMarked;
