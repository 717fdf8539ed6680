/** Statistical comparison of the new version of a service with the old one. */
@NullMarked
package org.acaciapond.rollout.analysis;

import org.jspecify.annotations.NullMarked;
