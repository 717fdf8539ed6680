/** Admission control of calls at the node of their target. */
@NullMarked
package org.acaciapond.routing.admission;

import org.jspecify.annotations.NullMarked;
