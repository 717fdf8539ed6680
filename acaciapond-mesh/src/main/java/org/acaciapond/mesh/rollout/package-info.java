/** Moves of traffic between versions: shares, evidence and verdicts. */
@NullMarked
package org.acaciapond.mesh.rollout;

import org.jspecify.annotations.NullMarked;
