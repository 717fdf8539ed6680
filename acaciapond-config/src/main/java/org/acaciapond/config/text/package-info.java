/** Parsing and validation of the configuration text. */
@NullMarked
package org.acaciapond.config.text;

import org.jspecify.annotations.NullMarked;
