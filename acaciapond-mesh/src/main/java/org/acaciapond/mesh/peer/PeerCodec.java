package org.acaciapond.mesh.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.acaciapond.mesh.call.MeshCall;
import org.acaciapond.mesh.call.MeshResponse;
import org.acaciapond.mesh.call.Outcome;
import org.acaciapond.mesh.call.Reason;
import org.acaciapond.mesh.rollout.ShareGrant;
import org.acaciapond.mesh.target.TargetLoad;
import org.acaciapond.mesh.target.TargetPhase;
import org.acaciapond.mesh.target.TargetStatus;
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
  private static final int RESPONSE_PART = 15;
  private static final int CALL_PART = 27;

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
      out.packBoolean(hello.acceptsParts()).packBoolean(hello.acceptsCallParts());
    } else if (message instanceof PeerMessage.Status status) {
      out.packInt(STATUS);
      writeStatus(out, status.status());
      writeLoad(out, status.load());
      out.packLong(status.rowVersion()).packBoolean(status.readsStore());
    } else if (message instanceof PeerMessage.Call call) {
      out.packInt(CALL).packLong(call.callNumber());
      writeCall(out, call.call());
      out.packLong(call.sentMs());
      dictionary.write(out, call.call().account());
    } else if (message instanceof PeerMessage.Response response) {
      out.packInt(RESPONSE).packLong(response.callNumber());
      writeResponse(out, response.response());
    } else if (message instanceof PeerMessage.ResponsePart part) {
      out.packInt(RESPONSE_PART).packLong(part.callNumber());
      PackedFields.writeBytes(out, part.bytes());
    } else if (message instanceof PeerMessage.CallPart part) {
      out.packInt(CALL_PART).packLong(part.callNumber());
      PackedFields.writeBytes(out, part.bytes());
    } else if (message instanceof PeerMessage.Cancel cancel) {
      out.packInt(CANCEL).packLong(cancel.callNumber());
    } else if (message instanceof PeerMessage.Ping ping) {
      out.packInt(PING).packLong(ping.number());
    } else if (message instanceof PeerMessage.Pong pong) {
      out.packInt(PONG).packLong(pong.number());
    } else if (message instanceof PeerMessage.StateRequest request) {
      out.packInt(STATE_REQUEST);
      StateCodec.writeRequest(out, request);
    } else if (message instanceof PeerMessage.StateDeltas deltas) {
      out.packInt(STATE_DELTAS);
      StateCodec.writeDeltas(out, deltas.rows());
    } else if (message instanceof PeerMessage.StateRows rows) {
      out.packInt(STATE_ROWS);
      StateCodec.writeRows(out, rows.rows());
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
        RolloutCodec.writeGrant(out, grant);
      }
    } else if (message instanceof PeerMessage.Evidence evidence) {
      out.packInt(EVIDENCE).packString(evidence.domain()).packLong(evidence.orderNumber());
      out.packInt(evidence.counts().size());
      for (RouteCounts counts : evidence.counts()) {
        RolloutCodec.writeCounts(out, counts);
      }
      out.packString(evidence.node()).packBoolean(evidence.total());
    }
  }

  private PeerMessage read(MessageUnpacker in) throws IOException {
    int type = in.unpackInt();
    return switch (type) {
      case HELLO ->
          new PeerMessage.Hello(
              readNode(in),
              in.unpackLong(),
              in.unpackBoolean(),
              PackedFields.readOptionalLong(in),
              in.hasNext() && in.unpackBoolean(),
              in.hasNext() && in.unpackBoolean());
      case STATUS ->
          new PeerMessage.Status(readStatus(in), readLoad(in), in.unpackLong(), in.unpackBoolean());
      case CALL -> {
        long number = in.unpackLong();
        MeshCall call = readCall(in);
        long sentMs = PackedFields.readOptionalLong(in);
        String account = in.hasNext() ? dictionary.read(in) : "";
        yield new PeerMessage.Call(number, call.withAccount(account), sentMs);
      }
      case RESPONSE -> new PeerMessage.Response(in.unpackLong(), readResponse(in));
      case RESPONSE_PART ->
          new PeerMessage.ResponsePart(in.unpackLong(), PackedFields.readBytes(in));
      case CALL_PART -> new PeerMessage.CallPart(in.unpackLong(), PackedFields.readBytes(in));
      case CANCEL -> new PeerMessage.Cancel(in.unpackLong());
      case PING -> new PeerMessage.Ping(in.unpackLong());
      case PONG -> new PeerMessage.Pong(in.unpackLong());
      case STATE_REQUEST -> StateCodec.readRequest(in);
      case STATE_DELTAS -> StateCodec.readDeltas(in);
      case STATE_ROWS -> StateCodec.readRows(in);
      case NODES -> {
        int count = PackedFields.readListSize(in);
        List<NodeRecord> nodes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
          nodes.add(readNode(in));
        }
        yield new PeerMessage.Nodes(nodes);
      }
      case STOPPED_TARGET -> new PeerMessage.StoppedTarget(readStatus(in));
      case GRANTS -> {
        int count = PackedFields.readListSize(in);
        List<ShareGrant> grants = new ArrayList<>();
        for (int i = 0; i < count; i++) {
          grants.add(RolloutCodec.readGrant(in));
        }
        yield new PeerMessage.Grants(grants);
      }
      case EVIDENCE -> {
        String domain = in.unpackString();
        long order = in.unpackLong();
        int count = PackedFields.readListSize(in);
        List<RouteCounts> counts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
          counts.add(RolloutCodec.readCounts(in));
        }
        boolean named = in.hasNext();
        yield new PeerMessage.Evidence(
            domain, order, counts, named ? in.unpackString() : "", named && in.unpackBoolean());
      }
      default ->
          throw new PeerException(
              PeerErrorCode.MALFORMED_MESSAGE, "unknown peer message type " + type, null);
    };
  }

  static void writeNode(MessageBufferPacker out, NodeRecord node) throws IOException {
    out.packString(node.key()).packString(node.host()).packInt(node.port());
    out.packString(node.domain()).packString(node.service()).packLong(node.startedMs());
  }

  static NodeRecord readNode(MessageUnpacker in) throws IOException {
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
    PackedFields.writeBytes(out, call.body());
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
        PackedFields.readBytes(in),
        in.unpackInt(),
        in.unpackInt(),
        in.unpackInt(),
        dictionary.read(in),
        dictionary.read(in),
        dictionary.read(in),
        in.unpackBoolean(),
        in.unpackBoolean(),
        "");
  }

  private void writeResponse(MessageBufferPacker out, MeshResponse response) throws IOException {
    out.packInt(response.outcome().ordinal()).packInt(response.reason().ordinal());
    out.packInt(response.retryAfterMs()).packInt(response.status());
    writeStrings(out, response.headers());
    PackedFields.writeBytes(out, response.body());
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
        PackedFields.readBytes(in),
        in.unpackInt(),
        readLoad(in));
  }

  private void writeStrings(MessageBufferPacker out, List<String> values) throws IOException {
    out.packInt(values.size());
    for (String value : values) {
      dictionary.write(out, value);
    }
  }

  private List<String> readStrings(MessageUnpacker in) throws IOException {
    int count = PackedFields.readListSize(in);
    List<String> values = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      values.add(dictionary.read(in));
    }
    return values;
  }
}
