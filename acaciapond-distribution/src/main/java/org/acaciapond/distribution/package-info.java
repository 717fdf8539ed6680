/** Configuration distribution logic, independent of network and event loop. */
@NullMarked
package org.acaciapond.distribution;

import org.jspecify.annotations.NullMarked;
