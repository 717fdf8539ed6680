/** Rules that keep a version from being lost or undercut when nodes restart without a disk. */
@NullMarked
package org.acaciapond.distribution.readiness;

import org.jspecify.annotations.NullMarked;
