/** Rate limits that all nodes keep together: tokens with a lifetime that move between nodes. */
@NullMarked
package org.acaciapond.mesh.limit;

import org.jspecify.annotations.NullMarked;
