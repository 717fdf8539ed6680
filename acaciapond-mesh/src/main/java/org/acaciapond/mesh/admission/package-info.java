/** Admission of calls at the node beside a target. */
@NullMarked
package org.acaciapond.mesh.admission;

import org.jspecify.annotations.NullMarked;
