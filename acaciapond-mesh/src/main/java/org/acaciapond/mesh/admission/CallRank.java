package org.acaciapond.mesh.admission;

/**
 * Order of admission, lowest first. A nested call, which a running request makes, precedes new
 * requests of that request's priority, because refusing it wastes the work done for the request. It
 * does not precede requests of a higher priority: otherwise the many nested calls of requests of a
 * low priority would starve them.
 */
public final class CallRank {

  // Ranks of new requests are even, those of nested calls are odd.
  private static final int RANKS_PER_PRIORITY = 2;
  private static final int MAX_URGENT_PRIORITY = 1;

  private CallRank() {}

  /**
   * Returns the rank of a new request.
   *
   * @param priority priority of its route, 0 is the highest
   */
  public static int ofRequest(int priority) {
    return RANKS_PER_PRIORITY * priority;
  }

  /** Returns the rank of a call that a running request of the given rank makes. */
  public static int ofNestedCall(int parentRank) {
    return isNested(parentRank) ? parentRank - RANKS_PER_PRIORITY : parentRank - 1;
  }

  /** Returns whether the rank is one of a nested call. */
  public static boolean isNested(int rank) {
    return rank % RANKS_PER_PRIORITY != 0;
  }

  /** Returns whether calls of a rank are urgent. */
  public static boolean isUrgent(int rank) {
    return rank <= ofRequest(MAX_URGENT_PRIORITY);
  }
}
