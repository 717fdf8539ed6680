package org.acaciapond.mesh.target;

/**
 * What a target says of itself.
 *
 * @param id id of the lifetime
 * @param bornMs Unix time of the target's start; orders lifetimes
 * @param sequence number of the check-in within the lifetime; orders check-ins
 * @param service service that it runs
 * @param version version of its software
 * @param slots calls that it works on at once
 * @param draining whether it announces that it leaves
 * @param coldMs how much longer it stays slow after its start
 */
public record CheckIn(
    String id,
    long bornMs,
    long sequence,
    String service,
    String version,
    int slots,
    boolean draining,
    int coldMs) {}
