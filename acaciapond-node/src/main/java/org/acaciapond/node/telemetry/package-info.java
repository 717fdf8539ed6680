/** Metrics, traces and status of a node. */
@NullMarked
package org.acaciapond.node.telemetry;

import org.jspecify.annotations.NullMarked;
