/**
 * Limits on the requests that an unproven version may get: a budget that each node keeps by itself,
 * and a schedule that stays within the budget even if a bad version is never detected.
 */
@NullMarked
package org.acaciapond.rollout.exposure;

import org.jspecify.annotations.NullMarked;
