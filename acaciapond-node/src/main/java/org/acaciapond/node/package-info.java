/** Node process of a host: entry point, settings and creation of the services. */
@NullMarked
package org.acaciapond.node;

import org.jspecify.annotations.NullMarked;
