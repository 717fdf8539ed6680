package org.acaciapond.mesh.peer;

import java.io.IOException;
import org.acaciapond.mesh.rollout.RolloutState;
import org.acaciapond.mesh.rollout.ShareGrant;
import org.acaciapond.rollout.evidence.LatencySketch;
import org.acaciapond.rollout.evidence.RouteCounts;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Codec of share grants and of the evidence about versions. */
final class RolloutCodec {

  private RolloutCodec() {}

  static void writeGrant(MessageBufferPacker out, ShareGrant grant) throws IOException {
    out.packString(grant.service()).packString(grant.toVersion()).packLong(grant.orderNumber());
    out.packLong(grant.number()).packInt(grant.sharePermille());
    out.packInt(grant.state().ordinal()).packInt(grant.elapsedMs());
  }

  static ShareGrant readGrant(MessageUnpacker in) throws IOException {
    return new ShareGrant(
        in.unpackString(),
        in.unpackString(),
        in.unpackLong(),
        in.unpackLong(),
        in.unpackInt(),
        RolloutState.values()[in.unpackInt()],
        in.unpackInt());
  }

  static void writeCounts(MessageBufferPacker out, RouteCounts counts) throws IOException {
    out.packString(counts.service()).packString(counts.version()).packString(counts.route());
    out.packInt(counts.calls()).packInt(counts.errors());
    int nonEmptyBuckets = 0;
    for (int i = 0; i < LatencySketch.BUCKETS; i++) {
      nonEmptyBuckets += counts.latency().count(i) == 0 ? 0 : 1;
    }
    out.packInt(nonEmptyBuckets);
    for (int i = 0; i < LatencySketch.BUCKETS; i++) {
      if (counts.latency().count(i) != 0) {
        out.packInt(i).packInt(counts.latency().count(i));
      }
    }
  }

  static RouteCounts readCounts(MessageUnpacker in) throws IOException {
    String service = in.unpackString();
    String version = in.unpackString();
    String route = in.unpackString();
    int calls = in.unpackInt();
    int errors = in.unpackInt();
    LatencySketch latency = new LatencySketch();
    int nonEmptyBuckets = PackedFields.readListSize(in);
    for (int i = 0; i < nonEmptyBuckets; i++) {
      latency.add(in.unpackInt(), in.unpackInt());
    }
    return new RouteCounts(service, version, route, calls, errors, latency);
  }
}
