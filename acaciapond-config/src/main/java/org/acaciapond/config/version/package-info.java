/** Versions, edits and content-addressed slices of the configuration. */
@NullMarked
package org.acaciapond.config.version;

import org.jspecify.annotations.NullMarked;
