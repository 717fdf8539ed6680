package org.acaciapond.membership;

/** Type-specific part of a {@link MembershipPacket}. */
public sealed interface MembershipBody {

  /** Number of buckets that members and replicated values are divided into. */
  int BUCKETS = 256;

  /** Limit of the items of one {@link Summary}, so that it fits into a packet. */
  int MAX_SUMMARY_ITEMS = 80;

  /** Limit of the items of one {@link ItemRequest}. */
  int MAX_REQUEST_ITEMS = 100;

  /**
   * Probe that requests an {@link Ack}.
   *
   * @param sequence number that the response repeats
   */
  record Ping(long sequence) implements MembershipBody {}

  /**
   * Response to a {@link Ping}.
   *
   * @param sequence number of the probe
   */
  record Ack(long sequence) implements MembershipBody {}

  /**
   * Request to probe a third node and to forward its response.
   *
   * @param sequence number that the response repeats
   * @param target node to probe
   */
  record PingRequest(long sequence, NodeAddress target) implements MembershipBody {}

  /** Message that only carries updates. */
  record Updates() implements MembershipBody {}

  /**
   * Digests of all buckets of the sender.
   *
   * @param buckets one digest for each bucket
   */
  record Digests(int[] buckets) implements MembershipBody {}

  /**
   * Items of the sender in one bucket whose digest differed.
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
   * @param ids hashes of the identities of the items
   */
  record ItemRequest(long[] ids) implements MembershipBody {}

  /**
   * Request of a joining node for all items, starting at a bucket.
   *
   * @param fromBucket first bucket
   */
  record Pull(int fromBucket) implements MembershipBody {}

  /**
   * End of the response to a {@link Pull}.
   *
   * @param nextBucket next bucket to request, or {@link #BUCKETS} when the transfer is complete
   */
  record PullDone(int nextBucket) implements MembershipBody {}

  /**
   * Refusal of a {@link Pull} because the sender is at its limit of transfers or bytes.
   *
   * @param retryAfterMs delay before the next attempt
   */
  record PullDeferred(int retryAfterMs) implements MembershipBody {}
}
