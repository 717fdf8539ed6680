/** Rollouts of synthetic services in virtual time, decided by the code of the node. */
@NullMarked
package org.acaciapond.bench.rollout;

import org.jspecify.annotations.NullMarked;
