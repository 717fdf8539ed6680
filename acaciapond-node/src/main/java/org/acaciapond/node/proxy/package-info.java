/** HTTP proxies of a node for the outbound and inbound calls of its local target. */
@NullMarked
package org.acaciapond.node.proxy;

import org.jspecify.annotations.NullMarked;
