package org.acaciapond.mesh.rollout;

/**
 * Permission of a node to decide about rollouts. The analyzer decides, but not while it is
 * connected to a minority of the nodes, not directly after it became the analyzer, when it has no
 * evidence yet, and not after a pause, when it may not have noticed that another node decides in
 * its place.
 */
public final class DecisionPermit {

  // Below one half, because nodes that have left for good are still known.
  private static final double MIN_CONNECTED_SHARE = 0.4;
  private static final long MAX_CHECK_GAP_MS = 1_000;
  // Lasts until peers have detected and announced what happened during the pause.
  private static final long WAIT_AFTER_PAUSE_MS = 1_000;

  // Reporters send their totals to a new analyzer within an interval.
  private static final long WAIT_AFTER_TAKEOVER_MS = 600;

  private long lastNanos;
  private long lastWallMs;
  private long waitUntilNanos;
  private boolean checked;
  private boolean wasAnalyzer;

  /** Starts over, as the checks are not continued after the last rollout has ended. */
  public void restart() {
    checked = false;
    wasAnalyzer = false;
  }

  /**
   * Checks the permission; called in each interval, also by nodes that do not decide.
   *
   * @param analyzer whether this node is the analyzer
   * @param nowNanos monotonic time, which may stand still while the host is suspended
   * @param wallMs time of day
   * @param connectedNodes connected nodes, including this one
   * @param knownNodes known nodes, including this one
   */
  public boolean check(
      boolean analyzer, long nowNanos, long wallMs, int connectedNodes, int knownNodes) {
    long gapMs = Math.max((nowNanos - lastNanos) / 1_000_000, wallMs - lastWallMs);
    if (checked && gapMs > MAX_CHECK_GAP_MS) {
      waitUntilNanos = nowNanos + WAIT_AFTER_PAUSE_MS * 1_000_000;
    } else if (analyzer && !wasAnalyzer) {
      waitUntilNanos = nowNanos + WAIT_AFTER_TAKEOVER_MS * 1_000_000;
    }
    checked = true;
    wasAnalyzer = analyzer;
    lastNanos = nowNanos;
    lastWallMs = wallMs;
    return analyzer
        && nowNanos - waitUntilNanos >= 0
        && connectedNodes >= MIN_CONNECTED_SHARE * knownNodes;
  }
}
