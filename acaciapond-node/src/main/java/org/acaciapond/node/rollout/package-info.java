/** Rollouts at the node: evidence, judges, grants and taken-back versions. */
@NullMarked
package org.acaciapond.node.rollout;

import org.jspecify.annotations.NullMarked;
