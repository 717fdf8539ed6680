/** Sequential comparison of the new version with the old one. */
@NullMarked
package org.acaciapond.rollout.analysis;

import org.jspecify.annotations.NullMarked;
