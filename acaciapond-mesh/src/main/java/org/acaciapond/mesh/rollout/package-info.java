/**
 * Rollout of service versions: orders, share grants, and the analysis that raises the share or
 * takes a version back.
 */
@NullMarked
package org.acaciapond.mesh.rollout;

import org.jspecify.annotations.NullMarked;
