/** Experiment that measures how fast an edit reaches all nodes and what that costs. */
@NullMarked
package org.acaciapond.bench.converge;

import org.jspecify.annotations.NullMarked;
