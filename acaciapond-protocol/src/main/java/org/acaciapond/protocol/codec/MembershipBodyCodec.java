package org.acaciapond.protocol.codec;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.acaciapond.membership.MembershipBody;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Codec of {@link MembershipBody}: the number of its kind, followed by its fields. */
final class MembershipBodyCodec {

  private static final int PING = 1;
  private static final int ACK = 2;
  private static final int PING_REQUEST = 3;
  private static final int UPDATES = 4;
  private static final int DIGESTS = 5;
  private static final int SUMMARY = 6;
  private static final int ITEM_REQUEST = 7;
  private static final int PULL = 8;
  private static final int PULL_DONE = 9;
  private static final int PULL_DEFERRED = 10;

  /** Longest retry delay accepted from a seed; a longer one would keep a node from joining. */
  private static final int MAX_RETRY_AFTER_MS = 60_000;

  private MembershipBodyCodec() {}

  static void encode(MembershipBody body, MessagePacker packer) throws IOException {
    if (body instanceof MembershipBody.Ping ping) {
      packer.packInt(PING).packLong(ping.sequence());
    } else if (body instanceof MembershipBody.Ack ack) {
      packer.packInt(ACK).packLong(ack.sequence());
    } else if (body instanceof MembershipBody.PingRequest request) {
      packer.packInt(PING_REQUEST).packLong(request.sequence());
      MembershipMessageCodec.packAddress(request.target(), packer);
    } else if (body instanceof MembershipBody.Updates) {
      packer.packInt(UPDATES);
    } else if (body instanceof MembershipBody.Digests digests) {
      packer.packInt(DIGESTS);
      packInts(digests.buckets(), packer);
    } else if (body instanceof MembershipBody.Summary summary) {
      packer.packInt(SUMMARY).packInt(summary.bucket()).packBoolean(summary.complete());
      packLongs(summary.ids(), packer);
      packInts(summary.versions(), packer);
    } else if (body instanceof MembershipBody.ItemRequest request) {
      packer.packInt(ITEM_REQUEST);
      packLongs(request.ids(), packer);
    } else if (body instanceof MembershipBody.Pull pull) {
      packer.packInt(PULL).packInt(pull.fromBucket());
    } else if (body instanceof MembershipBody.PullDone done) {
      packer.packInt(PULL_DONE).packInt(done.nextBucket());
    } else if (body instanceof MembershipBody.PullDeferred deferred) {
      packer.packInt(PULL_DEFERRED).packInt(deferred.retryAfterMs());
    }
  }

  static MembershipBody decode(MessageUnpacker unpacker) throws IOException {
    int kind = unpacker.unpackInt();
    return switch (kind) {
      case PING -> new MembershipBody.Ping(unpacker.unpackLong());
      case ACK -> new MembershipBody.Ack(unpacker.unpackLong());
      case PING_REQUEST ->
          new MembershipBody.PingRequest(
              unpacker.unpackLong(), MembershipMessageCodec.unpackAddress(unpacker));
      case UPDATES -> new MembershipBody.Updates();
      case DIGESTS -> unpackDigests(unpacker);
      case SUMMARY -> unpackSummary(unpacker);
      case ITEM_REQUEST ->
          new MembershipBody.ItemRequest(unpackLongs(unpacker, MembershipBody.MAX_REQUEST_ITEMS));
      case PULL -> new MembershipBody.Pull(unpackAtMost(unpacker, MembershipBody.BUCKETS - 1));
      case PULL_DONE -> new MembershipBody.PullDone(unpackAtMost(unpacker, MembershipBody.BUCKETS));
      case PULL_DEFERRED ->
          new MembershipBody.PullDeferred(unpackAtMost(unpacker, MAX_RETRY_AFTER_MS));
      default -> throw new IOException("unknown kind of membership message: " + kind);
    };
  }

  private static MembershipBody unpackDigests(MessageUnpacker unpacker) throws IOException {
    int[] buckets = unpackInts(unpacker);
    if (buckets.length != MembershipBody.BUCKETS) {
      throw new IOException(buckets.length + " digests");
    }
    return new MembershipBody.Digests(buckets);
  }

  private static MembershipBody unpackSummary(MessageUnpacker unpacker) throws IOException {
    int bucket = unpackAtMost(unpacker, MembershipBody.BUCKETS - 1);
    boolean complete = unpacker.unpackBoolean();
    long[] ids = unpackLongs(unpacker, MembershipBody.MAX_SUMMARY_ITEMS);
    int[] versions = unpackInts(unpacker);
    if (ids.length != versions.length) {
      throw new IOException(ids.length + " ids, but " + versions.length + " versions");
    }
    return new MembershipBody.Summary(bucket, complete, ids, versions);
  }

  private static int unpackAtMost(MessageUnpacker unpacker, int max) throws IOException {
    int value = unpacker.unpackInt();
    if (value < 0 || value > max) {
      throw new IOException("value out of range: " + value);
    }
    return value;
  }

  private static void packInts(int[] values, MessagePacker packer) throws IOException {
    ByteBuffer bytes = ByteBuffer.allocate(values.length * Integer.BYTES);
    bytes.asIntBuffer().put(values);
    packer.packBinaryHeader(bytes.capacity());
    packer.writePayload(bytes.array());
  }

  private static int[] unpackInts(MessageUnpacker unpacker) throws IOException {
    byte[] bytes = MembershipMessageCodec.unpackBytes(unpacker);
    if (bytes.length % Integer.BYTES != 0) {
      throw new IOException(bytes.length + " bytes are not a valid list of integers");
    }
    int[] values = new int[bytes.length / Integer.BYTES];
    ByteBuffer.wrap(bytes).asIntBuffer().get(values);
    return values;
  }

  private static void packLongs(long[] values, MessagePacker packer) throws IOException {
    ByteBuffer bytes = ByteBuffer.allocate(values.length * Long.BYTES);
    bytes.asLongBuffer().put(values);
    packer.packBinaryHeader(bytes.capacity());
    packer.writePayload(bytes.array());
  }

  private static long[] unpackLongs(MessageUnpacker unpacker, int maxCount) throws IOException {
    byte[] bytes = MembershipMessageCodec.unpackBytes(unpacker);
    if (bytes.length % Long.BYTES != 0 || bytes.length / Long.BYTES > maxCount) {
      throw new IOException(bytes.length + " bytes are not a valid list of identities");
    }
    long[] values = new long[bytes.length / Long.BYTES];
    ByteBuffer.wrap(bytes).asLongBuffer().get(values);
    return values;
  }
}
