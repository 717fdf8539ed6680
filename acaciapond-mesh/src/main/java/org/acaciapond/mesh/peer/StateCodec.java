package org.acaciapond.mesh.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Codec of the messages about the operator's rows, without their type. */
final class StateCodec {

  private static final long NO_VERSION = -1;

  private StateCodec() {}

  static void writeSummary(MessageBufferPacker out, @Nullable StateSummary summary)
      throws IOException {
    if (summary != null) {
      out.packLong(summary.completeTo()).packLong(summary.digest());
    }
  }

  // Nodes of earlier releases send no summary.
  static @Nullable StateSummary readSummary(MessageUnpacker in) throws IOException {
    return in.hasNext() ? new StateSummary(in.unpackLong(), in.unpackLong()) : null;
  }

  static void writeRows(MessageBufferPacker out, List<PeerMessage.StateRow> rows)
      throws IOException {
    out.packInt(rows.size());
    for (PeerMessage.StateRow row : rows) {
      out.packString(row.key()).packLong(row.rowVersion());
      PackedFields.writeBytes(out, row.value());
    }
  }

  static PeerMessage.StateRows readRows(MessageUnpacker in) throws IOException {
    int count = PackedFields.readListSize(in);
    List<PeerMessage.StateRow> rows = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      rows.add(
          new PeerMessage.StateRow(in.unpackString(), in.unpackLong(), PackedFields.readBytes(in)));
    }
    return new PeerMessage.StateRows(rows);
  }

  static void writeRequest(MessageBufferPacker out, PeerMessage.StateRequest request)
      throws IOException {
    if (request.acceptsDeltas()) {
      out.packInt(request.held().size());
      for (PeerMessage.HeldRow row : request.held()) {
        out.packString(row.key()).packLong(row.rowVersion());
      }
    }
  }

  static PeerMessage.StateRequest readRequest(MessageUnpacker in) throws IOException {
    if (!in.hasNext()) {
      return new PeerMessage.StateRequest(false, List.of());
    }
    int count = PackedFields.readListSize(in);
    List<PeerMessage.HeldRow> held = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      held.add(new PeerMessage.HeldRow(in.unpackString(), in.unpackLong()));
    }
    return new PeerMessage.StateRequest(true, held);
  }

  static void writeDeltas(MessageBufferPacker out, PeerMessage.StateDeltas deltas)
      throws IOException {
    out.packInt(deltas.rows().size());
    for (PeerMessage.RowDelta row : deltas.rows()) {
      out.packString(row.key()).packLong(row.rowVersion()).packLong(row.baseVersion());
      PackedFields.writeBytes(out, row.delta());
    }
    out.packLong(deltas.completeTo()).packInt(deltas.removed().size());
    for (String key : deltas.removed()) {
      out.packString(key);
    }
  }

  static PeerMessage.StateDeltas readDeltas(MessageUnpacker in) throws IOException {
    int count = PackedFields.readListSize(in);
    List<PeerMessage.RowDelta> rows = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      rows.add(
          new PeerMessage.RowDelta(
              in.unpackString(), in.unpackLong(), in.unpackLong(), PackedFields.readBytes(in)));
    }
    if (!in.hasNext()) {
      return new PeerMessage.StateDeltas(rows, NO_VERSION, List.of());
    }
    long completeTo = in.unpackLong();
    int removedCount = PackedFields.readListSize(in);
    List<String> removed = new ArrayList<>();
    for (int i = 0; i < removedCount; i++) {
      removed.add(in.unpackString());
    }
    return new PeerMessage.StateDeltas(rows, completeTo, removed);
  }
}
