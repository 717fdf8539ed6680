/** Starting and stopping of services. */
@NullMarked
package org.acaciapond.common.lifecycle;

import org.jspecify.annotations.NullMarked;
