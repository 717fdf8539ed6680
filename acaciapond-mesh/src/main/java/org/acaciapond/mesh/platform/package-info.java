/**
 * Port to the platform: settings, messages of targets and operators, in the project's own terms.
 */
@NullMarked
package org.acaciapond.mesh.platform;

import org.jspecify.annotations.NullMarked;
