/** Admission of calls at the node of a target. */
@NullMarked
package org.acaciapond.routing.admission;

import org.jspecify.annotations.NullMarked;
