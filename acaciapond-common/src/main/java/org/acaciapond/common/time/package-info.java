/** Clock interface that is injected wherever time is read. */
@NullMarked
package org.acaciapond.common.time;

import org.jspecify.annotations.NullMarked;
