/** Schedule of a rollout: the share of traffic and the number of new targets over time. */
@NullMarked
package org.acaciapond.rollout.schedule;

import org.jspecify.annotations.NullMarked;
