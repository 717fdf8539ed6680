/** Clock interface that is passed in wherever time is read. */
@NullMarked
package org.acaciapond.common.time;

import org.jspecify.annotations.NullMarked;
