/** Election of relays, replicas and poller candidates by rendezvous hashing. */
@NullMarked
package org.acaciapond.distribution.election;

import org.jspecify.annotations.NullMarked;
