/** Moves of traffic between versions: evidence, judging and the row that states the progress. */
@NullMarked
package org.acaciapond.sidecar.rollout;

import org.jspecify.annotations.NullMarked;
