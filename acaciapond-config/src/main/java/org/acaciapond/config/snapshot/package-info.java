/** Validated, immutable snapshots of the configuration in the scope of one node. */
@NullMarked
package org.acaciapond.config.snapshot;

import org.jspecify.annotations.NullMarked;
