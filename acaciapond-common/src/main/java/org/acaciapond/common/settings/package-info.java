/** Typed settings with description, default and constraint, and their JSON loader. */
@NullMarked
package org.acaciapond.common.settings;

import org.jspecify.annotations.NullMarked;
