package org.acaciapond.node.membership;

import org.jspecify.annotations.Nullable;

/** Holder of the latest announcement of the target on this host. */
public final class LocalTarget {

  /**
   * Announcement of the target.
   *
   * @param version version of the target
   * @param port loopback port of the target
   * @param weight relative capacity
   * @param leaving whether the target is leaving
   */
  public record Announcement(String version, int port, int weight, boolean leaving) {

    private static final int MAX_VERSION_CHARS = 63;
    private static final int MAX_PORT = 65_535;

    /** Limits the share of traffic that one target can claim, since weights are relative. */
    private static final int MAX_WEIGHT = 1_000;

    /** Creates an announcement after checking its values. */
    public Announcement {
      require(
          !version.isBlank() && version.length() <= MAX_VERSION_CHARS,
          "version of 1 to 63 characters");
      require(port >= 1 && port <= MAX_PORT, "port from 1 to 65535");
      require(weight >= 1 && weight <= MAX_WEIGHT, "weight from 1 to 1000");
    }

    private static void require(boolean valid, String requirement) {
      if (!valid) {
        throw new TargetException("the announcement needs a " + requirement, null);
      }
    }
  }

  private volatile @Nullable Announcement announcement;

  /** Returns the latest announcement, or null if there is none. */
  public @Nullable Announcement announcement() {
    return announcement;
  }

  /** Replaces the latest announcement. */
  public void announce(Announcement next) {
    this.announcement = next;
  }
}
