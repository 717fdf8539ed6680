/**
 * Interface to the platform: settings and messages of targets and operators in the project's types.
 */
@NullMarked
package org.acaciapond.mesh.platform;

import org.jspecify.annotations.NullMarked;
