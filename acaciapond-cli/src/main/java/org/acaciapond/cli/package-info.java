/** Command line for operators: argument parsing and the entry point. */
@NullMarked
package org.acaciapond.cli;

import org.jspecify.annotations.NullMarked;
