/** Simulation of many membership state machines in virtual time, for tests and experiments. */
@NullMarked
package org.acaciapond.membership.virtual;

import org.jspecify.annotations.NullMarked;
