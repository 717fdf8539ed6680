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
  public record Announcement(String version, int port, int weight, boolean leaving) {}

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
