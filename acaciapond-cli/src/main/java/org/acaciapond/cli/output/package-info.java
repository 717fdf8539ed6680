/** Printing of results, errors and validation problems. */
@NullMarked
package org.acaciapond.cli.output;

import org.jspecify.annotations.NullMarked;
