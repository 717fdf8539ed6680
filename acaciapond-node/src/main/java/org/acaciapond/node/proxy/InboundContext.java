package org.acaciapond.node.proxy;

import io.vertx.core.Vertx;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.routing.admission.AdmissionController;

/** Dependencies shared by all inbound calls of a node. */
record InboundContext(
    Vertx vertx,
    TimeSource time,
    AdmissionController admission,
    RequestPathOptions options,
    RequestPathCounters counters,
    HopTracer tracer,
    DrainCoordinator drain,
    TargetWarmup warmup) {}
