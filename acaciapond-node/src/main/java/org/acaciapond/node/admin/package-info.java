/** Admin HTTP server of a node. */
@NullMarked
package org.acaciapond.node.admin;

import org.jspecify.annotations.NullMarked;
