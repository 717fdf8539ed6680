/** Share of traffic and number of new targets over the time of a rollout. */
@NullMarked
package org.acaciapond.rollout.pace;

import org.jspecify.annotations.NullMarked;
