package org.acaciapond.mesh.target;

/**
 * Status message that a target sends to its node at regular intervals.
 *
 * @param id id of the target's lifetime
 * @param startedMs Unix time of the target's start; orders lifetimes
 * @param sequence number of the check-in within the lifetime; orders check-ins
 * @param service service that it provides
 * @param version version of its software
 * @param slots calls that it processes concurrently
 * @param draining whether it announces its shutdown
 * @param coldMs remaining time during which it is slow after its start
 */
public record CheckIn(
    String id,
    long startedMs,
    long sequence,
    String service,
    String version,
    int slots,
    boolean draining,
    int coldMs) {}
