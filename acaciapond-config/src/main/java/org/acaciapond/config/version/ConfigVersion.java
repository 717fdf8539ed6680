package org.acaciapond.config.version;

import java.util.Objects;

/**
 * Position of an accepted edit in the total order of the configuration.
 *
 * @param epoch epoch, incremented only when the table is rebuilt from scratch
 * @param sequence number of the edit within the epoch, from 1; 0 is the empty configuration
 * @param digest SHA-256 of the edit object, in hexadecimal
 */
public record ConfigVersion(long epoch, long sequence, String digest)
    implements Comparable<ConfigVersion> {

  /** Creates a version; throws {@link IllegalArgumentException} when its position is negative. */
  public ConfigVersion {
    Objects.requireNonNull(digest, "digest");
    if (epoch < 0 || sequence < 0) {
      throw new IllegalArgumentException("negative epoch or sequence: " + epoch + ", " + sequence);
    }
  }

  /** Version before the first edit. */
  public static final ConfigVersion NONE = new ConfigVersion(0, 0, "");

  /** Compares by epoch, then by sequence; the digest is ignored. */
  @Override
  public int compareTo(ConfigVersion other) {
    int byEpoch = Long.compare(epoch, other.epoch);
    return byEpoch != 0 ? byEpoch : Long.compare(sequence, other.sequence);
  }

  /** Returns whether this version comes after the other. */
  public boolean isAfter(ConfigVersion other) {
    return compareTo(other) > 0;
  }

  /** Returns whether the other version has this position but other content. */
  public boolean contradicts(ConfigVersion other) {
    return compareTo(other) == 0 && !digest.equals(other.digest);
  }
}
