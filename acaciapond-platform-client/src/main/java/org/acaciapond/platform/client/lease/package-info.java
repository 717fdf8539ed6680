/** Leases that are stored in rows of the table service. */
@NullMarked
package org.acaciapond.platform.client.lease;

import org.jspecify.annotations.NullMarked;
