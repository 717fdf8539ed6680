/** Experiments that measure the membership protocol of large fleets in virtual time. */
@NullMarked
package org.acaciapond.bench.membership;

import org.jspecify.annotations.NullMarked;
