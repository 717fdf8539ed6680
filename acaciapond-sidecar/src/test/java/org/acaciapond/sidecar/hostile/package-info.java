/** Tests of node processes beside clients that send or hold as much as they can. */
@NullMarked
package org.acaciapond.sidecar.hostile;

import org.jspecify.annotations.NullMarked;
