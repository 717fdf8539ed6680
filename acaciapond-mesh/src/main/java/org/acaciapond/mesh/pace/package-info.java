/**
 * Pace of calls to a target, found from how it answers: the number of concurrent calls after a
 * start, a recovery and under trouble, and the rate of calls while the target is cold. Guards
 * callers of a target that is overloaded, silent, unreachable or cold.
 */
@NullMarked
package org.acaciapond.mesh.pace;

import org.jspecify.annotations.NullMarked;
