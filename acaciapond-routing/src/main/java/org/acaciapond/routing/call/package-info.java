/** Outcomes of call attempts and the decisions to retry or refuse that follow from them. */
@NullMarked
package org.acaciapond.routing.call;

import org.jspecify.annotations.NullMarked;
