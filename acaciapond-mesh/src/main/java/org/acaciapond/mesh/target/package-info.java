/** What is known of targets, and the choice among them. */
@NullMarked
package org.acaciapond.mesh.target;

import org.jspecify.annotations.NullMarked;
