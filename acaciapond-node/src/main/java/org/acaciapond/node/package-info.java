/** Process in the slot of a host: entry point, settings and assembly. */
@NullMarked
package org.acaciapond.node;

import org.jspecify.annotations.NullMarked;
