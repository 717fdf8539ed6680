/** Call counts and latency sketches of both versions, and the summaries that reporters send. */
@NullMarked
package org.acaciapond.rollout.evidence;

import org.jspecify.annotations.NullMarked;
