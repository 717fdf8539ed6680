/**
 * Rules for activating a version and for starting a node, so that nodes which restart without
 * stored state neither lose an active version nor return to an earlier one.
 */
@NullMarked
package org.acaciapond.distribution.readiness;

import org.jspecify.annotations.NullMarked;
