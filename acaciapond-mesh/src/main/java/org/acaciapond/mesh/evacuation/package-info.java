/** Failure domains that the operator has ordered to be evacuated. */
@NullMarked
package org.acaciapond.mesh.evacuation;

import org.jspecify.annotations.NullMarked;
