/** Experiments that send calls through the proxies of nodes. */
@NullMarked
package org.acaciapond.bench.calls;

import org.jspecify.annotations.NullMarked;
