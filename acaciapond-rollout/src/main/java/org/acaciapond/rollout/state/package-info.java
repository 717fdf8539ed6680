/** Recorded rollout state, share grants, taken-back versions and the rollout controller. */
@NullMarked
package org.acaciapond.rollout.state;

import org.jspecify.annotations.NullMarked;
