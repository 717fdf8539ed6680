/** Explanation of where a request would be sent now, from the classes that decide on requests. */
@NullMarked
package org.acaciapond.mesh.explain;

import org.jspecify.annotations.NullMarked;
