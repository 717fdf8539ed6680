/** Limits how many calls reach a target and decides which of them wait, run or are refused. */
@NullMarked
package org.acaciapond.mesh.admission;

import org.jspecify.annotations.NullMarked;
