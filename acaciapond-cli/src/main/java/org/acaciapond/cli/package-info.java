/** Command line of the operators. */
@NullMarked
package org.acaciapond.cli;

import org.jspecify.annotations.NullMarked;
