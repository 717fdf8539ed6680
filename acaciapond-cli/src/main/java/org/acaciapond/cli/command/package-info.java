/** Commands for operators, one class each. */
@NullMarked
package org.acaciapond.cli.command;

import org.jspecify.annotations.NullMarked;
