package org.acaciapond.protocol.codec;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.acaciapond.protocol.message.EvidenceMessage;
import org.acaciapond.rollout.evidence.EvidenceSummary;
import org.acaciapond.rollout.evidence.LatencySketch;
import org.acaciapond.rollout.evidence.RouteCounts;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Codec of {@link EvidenceMessage}; only the non-empty buckets of a latency sketch are written. */
public final class EvidenceMessageCodec implements MessageCodec<EvidenceMessage> {

  private static final int TYPE_ID = 40;
  private static final int MAX_MESSAGE_BYTES = 256 * 1024;
  private static final int MAX_ROUTES = 4_096;

  @Override
  public int typeId() {
    return TYPE_ID;
  }

  @Override
  public int maxBytes() {
    return MAX_MESSAGE_BYTES;
  }

  @Override
  public Class<EvidenceMessage> type() {
    return EvidenceMessage.class;
  }

  @Override
  public void encode(EvidenceMessage message, MessagePacker packer) throws IOException {
    EvidenceSummary summary = message.summary();
    packer.packString(summary.reporter());
    packer.packString(summary.failureDomain());
    packer.packLong(summary.incarnation());
    packer.packLong(summary.interval());
    packer.packLong(summary.grantNumber());
    packer.packArrayHeader(summary.routes().size());
    for (RouteCounts counts : summary.routes()) {
      packer.packString(counts.service());
      packer.packString(counts.version());
      packer.packString(counts.route());
      packer.packInt(counts.calls());
      packer.packInt(counts.errors());
      encodeSketch(counts.latency(), packer);
    }
  }

  private static void encodeSketch(LatencySketch sketch, MessagePacker packer) throws IOException {
    int nonEmpty = 0;
    for (int i = 0; i < LatencySketch.BUCKETS; i++) {
      nonEmpty += sketch.count(i) > 0 ? 1 : 0;
    }
    packer.packMapHeader(nonEmpty);
    for (int i = 0; i < LatencySketch.BUCKETS; i++) {
      if (sketch.count(i) > 0) {
        packer.packInt(i);
        packer.packInt(sketch.count(i));
      }
    }
  }

  @Override
  public EvidenceMessage decode(MessageUnpacker unpacker) throws IOException {
    String reporter = unpacker.unpackString();
    String domain = unpacker.unpackString();
    long incarnation = unpacker.unpackLong();
    long interval = unpacker.unpackLong();
    long grantNumber = unpacker.unpackLong();
    int size = requireAtMost(unpacker.unpackArrayHeader(), MAX_ROUTES);
    List<RouteCounts> routes = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      routes.add(decodeCounts(unpacker));
    }
    return new EvidenceMessage(
        new EvidenceSummary(reporter, domain, incarnation, interval, grantNumber, routes));
  }

  private static RouteCounts decodeCounts(MessageUnpacker unpacker) throws IOException {
    String service = unpacker.unpackString();
    String version = unpacker.unpackString();
    String route = unpacker.unpackString();
    int calls = requireAtMost(unpacker.unpackInt(), Integer.MAX_VALUE);
    int errors = requireAtMost(unpacker.unpackInt(), calls);
    return new RouteCounts(service, version, route, calls, errors, decodeSketch(unpacker, calls));
  }

  private static LatencySketch decodeSketch(MessageUnpacker unpacker, int calls)
      throws IOException {
    LatencySketch sketch = new LatencySketch();
    int nonEmpty = requireAtMost(unpacker.unpackMapHeader(), LatencySketch.BUCKETS);
    // Each call is in one bucket, so the counts must not exceed the calls in total, nor overflow.
    int remaining = calls;
    for (int i = 0; i < nonEmpty; i++) {
      int bucket = requireAtMost(unpacker.unpackInt(), LatencySketch.BUCKETS - 1);
      int count = requireAtMost(unpacker.unpackInt(), remaining);
      remaining -= count;
      sketch.add(bucket, count);
    }
    return sketch;
  }

  private static int requireAtMost(int value, int limit) throws IOException {
    if (value < 0 || value > limit) {
      throw new IOException("number " + value + " exceeds " + limit);
    }
    return value;
  }
}
