/** Share of traffic and number of new targets over the time of a rollout. */
@NullMarked
package org.acaciapond.rollout.schedule;

import org.jspecify.annotations.NullMarked;
