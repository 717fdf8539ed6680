package org.acaciapond.membership;

/** Purpose of a {@link MembershipPacket}. */
public sealed interface MembershipBody {

  /** Number of buckets that members and replicated values are divided into. */
  int BUCKETS = 256;

  /** Limit of the items of one {@link Summary}, which keeps it within a packet. */
  int MAX_SUMMARY_ITEMS = 80;

  /** Limit of the items of one {@link ItemRequest}. */
  int MAX_REQUEST_ITEMS = 100;

  /**
   * Probe that asks for an {@link Ack}.
   *
   * @param sequence number that the answer repeats
   */
  record Ping(long sequence) implements MembershipBody {}

  /**
   * Answer to a {@link Ping}.
   *
   * @param sequence number of the probe
   */
  record Ack(long sequence) implements MembershipBody {}

  /**
   * Request to probe a third node and to pass its answer back.
   *
   * @param sequence number that the answer repeats
   * @param target node to probe
   */
  record PingRequest(long sequence, NodeAddress target) implements MembershipBody {}

  /** Carrier of updates without a purpose of its own. */
  record Updates() implements MembershipBody {}

  /**
   * Digests of all buckets of the sender.
   *
   * @param buckets one digest for each bucket
   */
  record Digests(int[] buckets) implements MembershipBody {}

  /**
   * Items that the sender holds in one bucket whose digest differed.
   *
   * @param bucket number of the bucket
   * @param complete whether all items of the bucket are listed
   * @param ids hashes of the identities of the items
   * @param versions hashes of the versions of the items
   */
  record Summary(int bucket, boolean complete, long[] ids, int[] versions)
      implements MembershipBody {}

  /**
   * Request for items.
   *
   * @param ids hashes of their identities
   */
  record ItemRequest(long[] ids) implements MembershipBody {}

  /**
   * Request of a joining node for the items from a bucket on.
   *
   * @param fromBucket first bucket
   */
  record Pull(int fromBucket) implements MembershipBody {}

  /**
   * End of the answer to a {@link Pull}.
   *
   * @param nextBucket bucket to continue from; the number of buckets at the end
   */
  record PullDone(int nextBucket) implements MembershipBody {}

  /**
   * Refusal of a {@link Pull} because enough other nodes are served.
   *
   * @param retryAfterMs delay before the next attempt
   */
  record PullDeferred(int retryAfterMs) implements MembershipBody {}
}
