/** Rollouts at a node: evidence reports, analysis, grants and taken-back versions. */
@NullMarked
package org.acaciapond.node.rollout;

import org.jspecify.annotations.NullMarked;
