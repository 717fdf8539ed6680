/** Output of results, errors and problem reports. */
@NullMarked
package org.acaciapond.cli.output;

import org.jspecify.annotations.NullMarked;
