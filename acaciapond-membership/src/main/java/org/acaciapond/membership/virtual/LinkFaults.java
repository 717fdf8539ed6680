package org.acaciapond.membership.virtual;

import java.util.HashSet;
import java.util.Set;

/** Fault injection for the links of a {@link VirtualFleet}. */
public final class LinkFaults {

  private final Set<String> cutLinks = new HashSet<>();
  private double lossShare;
  private double duplicateShare;
  private int extraDelayMs;

  /** Sets the share of messages that are lost, from 0 to 1. */
  public void setLossShare(double share) {
    this.lossShare = share;
  }

  /** Sets the share of messages that arrive twice, from 0 to 1. */
  public void setDuplicateShare(double share) {
    this.duplicateShare = share;
  }

  /** Sets the maximum random delay of a message, which also reorders messages. */
  public void setExtraDelayMs(int delayMs) {
    this.extraDelayMs = delayMs;
  }

  /** Cuts the links between two groups of nodes, in both directions. */
  public void cut(String first, String second) {
    cutLinks.add(first + "/" + second);
    cutLinks.add(second + "/" + first);
  }

  /** Removes all faults. */
  public void clear() {
    cutLinks.clear();
    lossShare = 0;
    duplicateShare = 0;
    extraDelayMs = 0;
  }

  boolean isCut(String first, String second) {
    return cutLinks.contains(first + "/" + second);
  }

  double lossShare() {
    return lossShare;
  }

  double duplicateShare() {
    return duplicateShare;
  }

  int extraDelayMs() {
    return extraDelayMs;
  }
}
