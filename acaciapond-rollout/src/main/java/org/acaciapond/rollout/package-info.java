/** Staged rollout of a new version of a service: analysis, schedule and recorded state. */
@NullMarked
package org.acaciapond.rollout;

import org.jspecify.annotations.NullMarked;
