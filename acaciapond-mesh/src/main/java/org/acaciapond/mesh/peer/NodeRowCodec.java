package org.acaciapond.mesh.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.acaciapond.mesh.target.TargetDeparture;
import org.acaciapond.mesh.target.TargetDepartures;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * MessagePack codec of the rows of nodes. The departures follow the registration record, where
 * nodes of earlier releases ignore them; rows of earlier releases end with the record.
 */
public final class NodeRowCodec {

  private NodeRowCodec() {}

  /** Encodes a row. */
  public static byte[] encode(NodeRow row) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      PeerCodec.writeNode(out, row.node());
      List<TargetDeparture> departures = row.departures().all();
      out.packInt(departures.size());
      for (TargetDeparture departure : departures) {
        out.packString(departure.id());
        out.packLong(departure.startedMs()).packLong(departure.receivedMs());
      }
      return out.toByteArray();
    } catch (IOException e) {
      throw new PeerException(PeerErrorCode.MALFORMED_MESSAGE, "node row cannot be encoded", e);
    }
  }

  /** Decodes a row. */
  public static NodeRow decode(byte[] bytes) {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      return new NodeRow(PeerCodec.readNode(in), readDepartures(in));
    } catch (IOException | MessagePackException | IndexOutOfBoundsException e) {
      throw new PeerException(PeerErrorCode.MALFORMED_MESSAGE, "node row cannot be decoded", e);
    }
  }

  private static TargetDepartures readDepartures(MessageUnpacker in) throws IOException {
    if (!in.hasNext()) {
      return TargetDepartures.NONE;
    }
    int count = PackedFields.readListSize(in);
    List<TargetDeparture> departures = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      departures.add(new TargetDeparture(in.unpackString(), in.unpackLong(), in.unpackLong()));
    }
    return new TargetDepartures(departures);
  }
}
