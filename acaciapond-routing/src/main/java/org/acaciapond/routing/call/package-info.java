/** Outcomes of calls and the rules that follow from them. */
@NullMarked
package org.acaciapond.routing.call;

import org.jspecify.annotations.NullMarked;
