package org.acaciapond.mesh.target;

/**
 * What a node tells the others of the target beside it.
 *
 * @param id id of the target's lifetime; empty when none is known
 * @param bornMs start of the lifetime
 * @param service service that it runs
 * @param version version of its software
 * @param phase phase of its life
 * @param slots calls that it works on at once
 * @param coldMs how much longer it stays slow after its start
 * @param nodeLeaving whether the node itself shuts down
 * @param number number of the status within the node's lifetime; a lower one is stale
 */
public record TargetStatus(
    String id,
    long bornMs,
    String service,
    String version,
    TargetPhase phase,
    int slots,
    int coldMs,
    boolean nodeLeaving,
    long number) {

  /** Returns whether calls may be sent. */
  public boolean open() {
    return phase == TargetPhase.READY && !nodeLeaving;
  }
}
