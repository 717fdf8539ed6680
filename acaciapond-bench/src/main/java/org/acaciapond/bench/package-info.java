/** Entry point of the load generators and experiments. */
@NullMarked
package org.acaciapond.bench;

import org.jspecify.annotations.NullMarked;
