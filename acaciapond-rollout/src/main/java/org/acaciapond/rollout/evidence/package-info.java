/** Outcome counts and latency sketches of the old and new version, and their summaries. */
@NullMarked
package org.acaciapond.rollout.evidence;

import org.jspecify.annotations.NullMarked;
