package org.acaciapond.membership;

import java.util.Arrays;

/**
 * Replicated value of which each node keeps the highest revision that it has seen.
 *
 * <p>A fact that only grows has a key of its own and the revision 1.
 *
 * @param key identity of the value
 * @param revision grows with each new value of the key
 * @param value opaque content
 */
public record GossipEntry(String key, long revision, byte[] value) {

  @Override
  public boolean equals(Object other) {
    return other instanceof GossipEntry entry
        && key.equals(entry.key)
        && revision == entry.revision
        && Arrays.equals(value, entry.value);
  }

  @Override
  public int hashCode() {
    return 31 * key.hashCode() + Long.hashCode(revision);
  }

  @Override
  public String toString() {
    return "GossipEntry[" + key + " " + revision + "]";
  }
}
