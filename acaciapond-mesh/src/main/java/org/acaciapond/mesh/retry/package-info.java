/** Budget of repeated calls. */
@NullMarked
package org.acaciapond.mesh.retry;

import org.jspecify.annotations.NullMarked;
