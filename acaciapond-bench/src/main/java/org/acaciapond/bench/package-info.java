/** Load and experiments. */
@NullMarked
package org.acaciapond.bench;

import org.jspecify.annotations.NullMarked;
