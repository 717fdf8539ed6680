/** Interface to the platform's store. */
@NullMarked
package org.acaciapond.mesh.store;

import org.jspecify.annotations.NullMarked;
