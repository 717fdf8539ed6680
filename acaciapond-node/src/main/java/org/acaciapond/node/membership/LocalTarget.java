package org.acaciapond.node.membership;

import org.jspecify.annotations.Nullable;

/** Holder of what the target on this host announced last. */
public final class LocalTarget {

  /**
   * Announcement of the target.
   *
   * @param version version of the target
   * @param port loopback port of the target
   * @param weight relative capacity
   * @param leaving whether it is leaving
   */
  public record Announcement(String version, int port, int weight, boolean leaving) {

    private static final int MAX_VERSION_CHARS = 63;
    private static final int MAX_PORT = 65_535;

    /** Bounds the share that one target can claim; weights are drawn by comparison. */
    private static final int MAX_WEIGHT = 1_000;

    /** Checks the bounds. */
    public Announcement {
      check(
          !version.isBlank() && version.length() <= MAX_VERSION_CHARS,
          "version of 1 to 63 characters");
      check(port >= 1 && port <= MAX_PORT, "port from 1 to 65535");
      check(weight >= 1 && weight <= MAX_WEIGHT, "weight from 1 to 1000");
    }

    private static void check(boolean holds, String rule) {
      if (!holds) {
        throw new TargetException("the announcement needs a " + rule, null);
      }
    }
  }

  private volatile @Nullable Announcement announcement;

  /** Returns the announcement, or null when there is none. */
  public @Nullable Announcement announcement() {
    return announcement;
  }

  /** Replaces the announcement. */
  public void announce(Announcement next) {
    this.announcement = next;
  }
}
