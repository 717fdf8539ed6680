/** Randomized test of a mesh whose targets send additional, invalid and incomplete responses. */
@NullMarked
package org.acaciapond.sidecar.stutter;

import org.jspecify.annotations.NullMarked;
