package org.acaciapond.node.proxy;

import io.vertx.core.Vertx;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.config.snapshot.SnapshotHolder;
import org.acaciapond.routing.call.CallListener;
import org.acaciapond.routing.retry.RetryBudget;
import org.acaciapond.routing.target.TargetDirectory;
import org.acaciapond.routing.target.TargetSelector;
import org.acaciapond.routing.target.VersionSplits;

/** Dependencies shared by all outbound calls of a node. */
record OutboundContext(
    Vertx vertx,
    TimeSource time,
    SnapshotHolder holder,
    TargetDirectory directory,
    VersionSplits splits,
    TargetSelector selector,
    RetryBudget budget,
    CallListener listener,
    RequestPathOptions options,
    RequestPathCounters counters,
    HopTracer tracer,
    DrainCoordinator drain) {}
