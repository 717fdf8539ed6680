package org.acaciapond.membership.virtual;

import java.util.HashSet;
import java.util.Set;

/** Switchable faults of the links of a {@link VirtualFleet}. */
public final class LinkFaults {

  private final Set<String> cuts = new HashSet<>();
  private double lossShare;
  private double duplicateShare;
  private int extraDelayMs;

  /** Sets the share of the messages that are lost. */
  public void setLossShare(double share) {
    this.lossShare = share;
  }

  /** Sets the share of the messages that arrive twice. */
  public void setDuplicateShare(double share) {
    this.duplicateShare = share;
  }

  /** Sets the largest random delay of a message, by which messages also overtake each other. */
  public void setExtraDelayMs(int delayMs) {
    this.extraDelayMs = delayMs;
  }

  /** Cuts the links between two groups of nodes, in both directions. */
  public void cut(String first, String second) {
    cuts.add(first + "/" + second);
    cuts.add(second + "/" + first);
  }

  /** Ends all faults. */
  public void clear() {
    cuts.clear();
    lossShare = 0;
    duplicateShare = 0;
    extraDelayMs = 0;
  }

  boolean isCut(String first, String second) {
    return cuts.contains(first + "/" + second);
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
