/** Proxies of calls in both directions. */
@NullMarked
package org.acaciapond.node.proxy;

import org.jspecify.annotations.NullMarked;
