/** Experiment on the rate limits that all nodes keep together. */
@NullMarked
package org.acaciapond.bench.quota;

import org.jspecify.annotations.NullMarked;
