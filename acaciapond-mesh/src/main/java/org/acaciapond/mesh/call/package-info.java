/** Calls and their outcomes. */
@NullMarked
package org.acaciapond.mesh.call;

import org.jspecify.annotations.NullMarked;
