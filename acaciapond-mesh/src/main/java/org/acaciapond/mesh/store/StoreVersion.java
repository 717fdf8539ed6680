package org.acaciapond.mesh.store;

/**
 * Version of the store. The era rises each time the store comes back from an older copy of itself,
 * which gives out versions again, so the era orders before the version.
 *
 * @param era number of the era; 0 if the store does not tell, {@link #UNKNOWN_ERA} if the version
 *     comes from a node of an earlier release
 * @param version version within the era
 */
public record StoreVersion(long era, long version) implements Comparable<StoreVersion> {

  /** Era of a version from a node that does not know eras. */
  public static final long UNKNOWN_ERA = -1;

  /** Largest era. */
  public static final long MAX_ERA = 1 << 22;

  /** Before any version. */
  public static final StoreVersion NONE = new StoreVersion(0, -1);

  /** Version of a row that does not exist. */
  public static final StoreVersion ABSENT = new StoreVersion(0, 0);

  private static final int VERSION_BITS = 40;

  /** Returns the version with a number from {@link #toNumber}. */
  public static StoreVersion ofNumber(long number) {
    return new StoreVersion(number >> VERSION_BITS, number & ((1L << VERSION_BITS) - 1));
  }

  /** Returns a number that orders as this version does; without an era it is the version. */
  public long toNumber() {
    return (era << VERSION_BITS) + version;
  }

  /** Returns whether this version is later than another one. */
  public boolean isAfter(StoreVersion other) {
    return compareTo(other) > 0;
  }

  /** Returns the later one of two versions. */
  public static StoreVersion max(StoreVersion first, StoreVersion second) {
    return second.isAfter(first) ? second : first;
  }

  /** Returns this version, in a given era if its own is unknown. */
  public StoreVersion inEraIfUnknown(long knownEra) {
    return era == UNKNOWN_ERA ? new StoreVersion(knownEra, version) : this;
  }

  @Override
  public int compareTo(StoreVersion other) {
    int order = Long.compare(era, other.era);
    return order != 0 ? order : Long.compare(version, other.version);
  }
}
