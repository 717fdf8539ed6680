/** Client of the table service and the object store of the platform. */
@NullMarked
package org.acaciapond.platform.client;

import org.jspecify.annotations.NullMarked;
