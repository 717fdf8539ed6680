package org.acaciapond.sidecar.stutter;

import java.util.List;

/**
 * Settings of a target.
 *
 * @param faultRate share of the responses that have a fault
 * @param faults faults of the responses, with equal shares
 * @param repeatedIds whether a request that runs again makes its nested requests with the same ids
 */
record TargetSettings(
    String id,
    String service,
    int slots,
    double faultRate,
    List<ResponseFault> faults,
    boolean repeatedIds,
    long seed) {}
