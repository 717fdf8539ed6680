/** Edits of a configuration text that order rollouts, and durations in their arguments. */
@NullMarked
package org.acaciapond.cli.edit;

import org.jspecify.annotations.NullMarked;
