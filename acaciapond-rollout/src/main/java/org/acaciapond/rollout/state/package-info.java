/** Rollout row, grants, taken-back facts and the controller. */
@NullMarked
package org.acaciapond.rollout.state;

import org.jspecify.annotations.NullMarked;
