/** Simulation of rollouts in virtual time with the analysis and controller of the node. */
@NullMarked
package org.acaciapond.bench.rollout;

import org.jspecify.annotations.NullMarked;
