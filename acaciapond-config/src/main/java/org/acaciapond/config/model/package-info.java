/** Immutable records that model the configuration text. */
@NullMarked
package org.acaciapond.config.model;

import org.jspecify.annotations.NullMarked;
