/** Components of the membership state machine: probing, anti-entropy, joining and storage. */
@NullMarked
package org.acaciapond.membership.internal;

import org.jspecify.annotations.NullMarked;
