package org.acaciapond.mesh.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.acaciapond.mesh.call.MeshCall;
import org.acaciapond.mesh.call.MeshResponse;
import org.acaciapond.mesh.call.Outcome;
import org.acaciapond.mesh.call.Reason;
import org.acaciapond.mesh.rollout.RolloutState;
import org.acaciapond.mesh.rollout.ShareGrant;
import org.acaciapond.mesh.target.TargetLoad;
import org.acaciapond.mesh.target.TargetPhase;
import org.acaciapond.mesh.target.TargetStatus;
import org.acaciapond.rollout.evidence.LatencySketch;
import org.acaciapond.rollout.evidence.RouteCounts;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * MessagePack codec of the messages on one connection between nodes. Fields are written in the
 * order of the record components, except that the URI of a call precedes its method. New fields are
 * added at the end of a message, where nodes of earlier releases ignore them. Messages must be
 * decoded in the order in which they were encoded, because both sides build the same string
 * dictionary.
 */
public final class PeerCodec {

  private static final int HELLO = 1;
  private static final int STATUS = 2;
  private static final int CALL = 3;
  private static final int RESPONSE = 4;
  private static final int CANCEL = 5;
  private static final int PING = 6;
  private static final int PONG = 7;
  private static final int STATE_REQUEST = 8;
  private static final int STATE_ROWS = 9;
  private static final int NODES = 10;
  private static final int GRANTS = 11;
  private static final int EVIDENCE = 12;
  private static final int STOPPED_TARGET = 13;
  private static final int STATE_DELTAS = 14;
  private static final int MAX_LIST_ENTRIES = 100_000;

  private final StringDictionary dictionary = new StringDictionary();

  /** Encodes a message. */
  public byte[] encode(PeerMessage message) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      write(out, message);
      return out.toByteArray();
    } catch (IOException e) {
      throw new PeerException(PeerErrorCode.MALFORMED_MESSAGE, "peer message cannot be encoded", e);
    }
  }

  /** Decodes a message. */
  public PeerMessage decode(byte[] bytes) {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      return read(in);
    } catch (IOException | MessagePackException | IndexOutOfBoundsException e) {
      throw new PeerException(PeerErrorCode.MALFORMED_MESSAGE, "peer message cannot be decoded", e);
    }
  }

  private void write(MessageBufferPacker out, PeerMessage message) throws IOException {
    if (message instanceof PeerMessage.Hello hello) {
      out.packInt(HELLO);
      writeNode(out, hello.node());
      out.packLong(hello.rowVersion()).packBoolean(hello.wantsNodes()).packLong(hello.sentMs());
    } else if (message instanceof PeerMessage.Status status) {
      out.packInt(STATUS);
      writeStatus(out, status.status());
      writeLoad(out, status.load());
      out.packLong(status.rowVersion()).packBoolean(status.readsStore());
    } else if (message instanceof PeerMessage.Call call) {
      out.packInt(CALL).packLong(call.callNumber());
      writeCall(out, call.call());
      out.packLong(call.sentMs());
    } else if (message instanceof PeerMessage.Response response) {
      out.packInt(RESPONSE).packLong(response.callNumber());
      writeResponse(out, response.response());
    } else if (message instanceof PeerMessage.Cancel cancel) {
      out.packInt(CANCEL).packLong(cancel.callNumber());
    } else if (message instanceof PeerMessage.Ping ping) {
      out.packInt(PING).packLong(ping.number());
    } else if (message instanceof PeerMessage.Pong pong) {
      out.packInt(PONG).packLong(pong.number());
    } else if (message instanceof PeerMessage.StateRequest request) {
      writeStateRequest(out, request);
    } else if (message instanceof PeerMessage.StateDeltas deltas) {
      writeDeltas(out, deltas.rows());
    } else if (message instanceof PeerMessage.StateRows rows) {
      out.packInt(STATE_ROWS).packInt(rows.rows().size());
      for (PeerMessage.StateRow row : rows.rows()) {
        out.packString(row.key()).packLong(row.rowVersion());
        writeBytes(out, row.value());
      }
    } else if (message instanceof PeerMessage.Nodes nodes) {
      out.packInt(NODES).packInt(nodes.nodes().size());
      for (NodeRecord node : nodes.nodes()) {
        writeNode(out, node);
      }
    } else if (message instanceof PeerMessage.StoppedTarget stopped) {
      out.packInt(STOPPED_TARGET);
      writeStatus(out, stopped.status());
    } else if (message instanceof PeerMessage.Grants grants) {
      out.packInt(GRANTS).packInt(grants.grants().size());
      for (ShareGrant grant : grants.grants()) {
        writeGrant(out, grant);
      }
    } else if (message instanceof PeerMessage.Evidence evidence) {
      out.packInt(EVIDENCE).packString(evidence.domain()).packLong(evidence.orderNumber());
      out.packInt(evidence.counts().size());
      for (RouteCounts counts : evidence.counts()) {
        writeCounts(out, counts);
      }
    }
  }

  private PeerMessage read(MessageUnpacker in) throws IOException {
    int type = in.unpackInt();
    return switch (type) {
      case HELLO ->
          new PeerMessage.Hello(
              readNode(in), in.unpackLong(), in.unpackBoolean(), readOptionalLong(in));
      case STATUS ->
          new PeerMessage.Status(readStatus(in), readLoad(in), in.unpackLong(), in.unpackBoolean());
      case CALL -> new PeerMessage.Call(in.unpackLong(), readCall(in), readOptionalLong(in));
      case RESPONSE -> new PeerMessage.Response(in.unpackLong(), readResponse(in));
      case CANCEL -> new PeerMessage.Cancel(in.unpackLong());
      case PING -> new PeerMessage.Ping(in.unpackLong());
      case PONG -> new PeerMessage.Pong(in.unpackLong());
      case STATE_REQUEST -> readStateRequest(in);
      case STATE_DELTAS -> readDeltas(in);
      case STATE_ROWS -> {
        int count = readListSize(in);
        List<PeerMessage.StateRow> rows = new ArrayList<>();
        for (int i = 0; i < count; i++) {
          rows.add(new PeerMessage.StateRow(in.unpackString(), in.unpackLong(), readBytes(in)));
        }
        yield new PeerMessage.StateRows(rows);
      }
      case NODES -> {
        int count = readListSize(in);
        List<NodeRecord> nodes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
          nodes.add(readNode(in));
        }
        yield new PeerMessage.Nodes(nodes);
      }
      case STOPPED_TARGET -> new PeerMessage.StoppedTarget(readStatus(in));
      case GRANTS -> {
        int count = readListSize(in);
        List<ShareGrant> grants = new ArrayList<>();
        for (int i = 0; i < count; i++) {
          grants.add(readGrant(in));
        }
        yield new PeerMessage.Grants(grants);
      }
      case EVIDENCE -> {
        String domain = in.unpackString();
        long order = in.unpackLong();
        int count = readListSize(in);
        List<RouteCounts> counts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
          counts.add(readCounts(in));
        }
        yield new PeerMessage.Evidence(domain, order, counts);
      }
      default ->
          throw new PeerException(
              PeerErrorCode.MALFORMED_MESSAGE, "unknown peer message type " + type, null);
    };
  }

  private static void writeStateRequest(MessageBufferPacker out, PeerMessage.StateRequest request)
      throws IOException {
    out.packInt(STATE_REQUEST);
    if (request.acceptsDeltas()) {
      out.packInt(request.held().size());
      for (PeerMessage.HeldRow row : request.held()) {
        out.packString(row.key()).packLong(row.rowVersion());
      }
    }
  }

  private static PeerMessage.StateRequest readStateRequest(MessageUnpacker in) throws IOException {
    if (!in.hasNext()) {
      return new PeerMessage.StateRequest(false, List.of());
    }
    int count = readListSize(in);
    List<PeerMessage.HeldRow> held = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      held.add(new PeerMessage.HeldRow(in.unpackString(), in.unpackLong()));
    }
    return new PeerMessage.StateRequest(true, held);
  }

  private static void writeDeltas(MessageBufferPacker out, List<PeerMessage.RowDelta> rows)
      throws IOException {
    out.packInt(STATE_DELTAS).packInt(rows.size());
    for (PeerMessage.RowDelta row : rows) {
      out.packString(row.key()).packLong(row.rowVersion()).packLong(row.baseVersion());
      writeBytes(out, row.delta());
    }
  }

  private static PeerMessage.StateDeltas readDeltas(MessageUnpacker in) throws IOException {
    int count = readListSize(in);
    List<PeerMessage.RowDelta> rows = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      rows.add(
          new PeerMessage.RowDelta(
              in.unpackString(), in.unpackLong(), in.unpackLong(), readBytes(in)));
    }
    return new PeerMessage.StateDeltas(rows);
  }

  /** Encodes the registration record of a node for the store. */
  public static byte[] encodeNode(NodeRecord node) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      writeNode(out, node);
      return out.toByteArray();
    } catch (IOException e) {
      throw new PeerException(PeerErrorCode.MALFORMED_MESSAGE, "node record cannot be encoded", e);
    }
  }

  /** Decodes the registration record of a node. */
  public static NodeRecord decodeNode(byte[] bytes) {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      return readNode(in);
    } catch (IOException | MessagePackException | IndexOutOfBoundsException e) {
      throw new PeerException(PeerErrorCode.MALFORMED_MESSAGE, "node record cannot be decoded", e);
    }
  }

  private static void writeNode(MessageBufferPacker out, NodeRecord node) throws IOException {
    out.packString(node.key()).packString(node.host()).packInt(node.port());
    out.packString(node.domain()).packString(node.service()).packLong(node.startedMs());
  }

  private static NodeRecord readNode(MessageUnpacker in) throws IOException {
    return new NodeRecord(
        in.unpackString(),
        in.unpackString(),
        in.unpackInt(),
        in.unpackString(),
        in.unpackString(),
        in.unpackLong());
  }

  private static void writeStatus(MessageBufferPacker out, TargetStatus status) throws IOException {
    out.packString(status.id()).packLong(status.startedMs()).packString(status.service());
    out.packString(status.version()).packInt(status.phase().ordinal()).packInt(status.slots());
    out.packInt(status.coldMs());
    out.packBoolean(status.nodeLeaving()).packLong(status.number());
  }

  private static TargetStatus readStatus(MessageUnpacker in) throws IOException {
    return new TargetStatus(
        in.unpackString(),
        in.unpackLong(),
        in.unpackString(),
        in.unpackString(),
        TargetPhase.values()[in.unpackInt()],
        in.unpackInt(),
        in.unpackInt(),
        in.unpackBoolean(),
        in.unpackLong());
  }

  private static void writeLoad(MessageBufferPacker out, TargetLoad load) throws IOException {
    out.packInt(load.running()).packInt(load.queued()).packInt(load.urgentQueued());
    out.packInt(load.serviceUs()).packInt(load.failurePermille());
  }

  private static TargetLoad readLoad(MessageUnpacker in) throws IOException {
    return new TargetLoad(
        in.unpackInt(), in.unpackInt(), in.unpackInt(), in.unpackInt(), in.unpackInt());
  }

  private void writeCall(MessageBufferPacker out, MeshCall call) throws IOException {
    out.packString(call.id()).packString(call.uri());
    dictionary.write(out, call.method());
    writeStrings(out, call.headers());
    writeBytes(out, call.body());
    out.packInt(call.leftMs()).packInt(call.objectiveLeftMs()).packInt(call.rank());
    dictionary.write(out, call.route());
    dictionary.write(out, call.callerService());
    dictionary.write(out, call.targetId());
    out.packBoolean(call.idempotent()).packBoolean(call.retry());
  }

  private MeshCall readCall(MessageUnpacker in) throws IOException {
    String id = in.unpackString();
    String uri = in.unpackString();
    return new MeshCall(
        id,
        dictionary.read(in),
        uri,
        readStrings(in),
        readBytes(in),
        in.unpackInt(),
        in.unpackInt(),
        in.unpackInt(),
        dictionary.read(in),
        dictionary.read(in),
        dictionary.read(in),
        in.unpackBoolean(),
        in.unpackBoolean());
  }

  private void writeResponse(MessageBufferPacker out, MeshResponse response) throws IOException {
    out.packInt(response.outcome().ordinal()).packInt(response.reason().ordinal());
    out.packInt(response.retryAfterMs()).packInt(response.status());
    writeStrings(out, response.headers());
    writeBytes(out, response.body());
    out.packInt(response.serviceUs());
    writeLoad(out, response.load());
  }

  private MeshResponse readResponse(MessageUnpacker in) throws IOException {
    return new MeshResponse(
        Outcome.values()[in.unpackInt()],
        Reason.values()[in.unpackInt()],
        in.unpackInt(),
        in.unpackInt(),
        readStrings(in),
        readBytes(in),
        in.unpackInt(),
        readLoad(in));
  }

  private static void writeGrant(MessageBufferPacker out, ShareGrant grant) throws IOException {
    out.packString(grant.service()).packString(grant.toVersion()).packLong(grant.orderNumber());
    out.packLong(grant.number()).packInt(grant.sharePermille());
    out.packInt(grant.state().ordinal()).packInt(grant.elapsedMs());
  }

  private static ShareGrant readGrant(MessageUnpacker in) throws IOException {
    return new ShareGrant(
        in.unpackString(),
        in.unpackString(),
        in.unpackLong(),
        in.unpackLong(),
        in.unpackInt(),
        RolloutState.values()[in.unpackInt()],
        in.unpackInt());
  }

  private static void writeCounts(MessageBufferPacker out, RouteCounts counts) throws IOException {
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

  private static RouteCounts readCounts(MessageUnpacker in) throws IOException {
    String service = in.unpackString();
    String version = in.unpackString();
    String route = in.unpackString();
    int calls = in.unpackInt();
    int errors = in.unpackInt();
    LatencySketch latency = new LatencySketch();
    int nonEmptyBuckets = readListSize(in);
    for (int i = 0; i < nonEmptyBuckets; i++) {
      latency.add(in.unpackInt(), in.unpackInt());
    }
    return new RouteCounts(service, version, route, calls, errors, latency);
  }

  private void writeStrings(MessageBufferPacker out, List<String> values) throws IOException {
    out.packInt(values.size());
    for (String value : values) {
      dictionary.write(out, value);
    }
  }

  private List<String> readStrings(MessageUnpacker in) throws IOException {
    int count = readListSize(in);
    List<String> values = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      values.add(dictionary.read(in));
    }
    return values;
  }

  private static void writeBytes(MessageBufferPacker out, byte[] bytes) throws IOException {
    out.packBinaryHeader(bytes.length).writePayload(bytes);
  }

  private static byte[] readBytes(MessageUnpacker in) throws IOException {
    return in.readPayload(in.unpackBinaryHeader());
  }

  // Reads a field that nodes of earlier releases do not send.
  private static long readOptionalLong(MessageUnpacker in) throws IOException {
    return in.hasNext() ? in.unpackLong() : 0;
  }

  private static int readListSize(MessageUnpacker in) throws IOException {
    int count = in.unpackInt();
    if (count < 0 || count > MAX_LIST_ENTRIES) {
      throw new PeerException(
          PeerErrorCode.MALFORMED_MESSAGE,
          "list of " + count + " entries: not between 0 and " + MAX_LIST_ENTRIES,
          null);
    }
    return count;
  }
}
