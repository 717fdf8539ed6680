/** Reading, walking and advancing the chain of edits. */
@NullMarked
package org.acaciapond.cli.edit;

import org.jspecify.annotations.NullMarked;
