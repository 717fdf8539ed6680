/** Structured log lines and metrics. */
@NullMarked
package org.acaciapond.sidecar.telemetry;

import org.jspecify.annotations.NullMarked;
