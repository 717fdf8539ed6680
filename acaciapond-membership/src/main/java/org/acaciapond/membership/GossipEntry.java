package org.acaciapond.membership;

import java.util.Arrays;

/**
 * Replicated value; each node keeps the highest revision that it has received.
 *
 * <p>A value that never changes, such as the record of a taken-back version, has its own key and
 * the revision 1.
 *
 * @param key key that identifies the value
 * @param revision number that increases with each new value of the key
 * @param value content, which this module does not interpret
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
