/** Moves of traffic between versions: shares, evidence and verdicts. */
@NullMarked
package org.acaciapond.mesh.move;

import org.jspecify.annotations.NullMarked;
