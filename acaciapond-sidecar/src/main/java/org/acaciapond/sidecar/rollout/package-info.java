/** Rollouts at a node: reporting of evidence, control of the share, and storage of the progress. */
@NullMarked
package org.acaciapond.sidecar.rollout;

import org.jspecify.annotations.NullMarked;
