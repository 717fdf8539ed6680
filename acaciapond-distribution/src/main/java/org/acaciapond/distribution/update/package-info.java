/** Content of the configuration by scope, updates between nodes and their acceptance. */
@NullMarked
package org.acaciapond.distribution.update;

import org.jspecify.annotations.NullMarked;
