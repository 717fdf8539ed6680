package org.acaciapond.mesh.target;

/**
 * Status of a target as its own node reports it to other nodes.
 *
 * @param id id of the target's lifetime; empty if none is known
 * @param startedMs Unix time of the target's start
 * @param service service that it provides
 * @param version version of its software
 * @param phase phase of its lifecycle
 * @param slots calls that it processes concurrently
 * @param coldMs remaining time during which it is slow after its start
 * @param nodeLeaving whether the node itself shuts down
 * @param number number of the status within the node's lifetime; a lower number is stale
 */
public record TargetStatus(
    String id,
    long startedMs,
    String service,
    String version,
    TargetPhase phase,
    int slots,
    int coldMs,
    boolean nodeLeaving,
    long number) {

  /** Returns whether calls may be sent to the target. */
  public boolean acceptsCalls() {
    return phase == TargetPhase.READY && !nodeLeaving;
  }
}
