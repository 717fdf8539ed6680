/** Rollout decisions. */
@NullMarked
package org.acaciapond.rollout;

import org.jspecify.annotations.NullMarked;
