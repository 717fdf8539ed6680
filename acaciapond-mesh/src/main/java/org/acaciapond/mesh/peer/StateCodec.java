package org.acaciapond.mesh.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.acaciapond.mesh.store.StoreVersion;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Codec of the messages about the operator's rows, without their type. Nodes of earlier releases do
 * not know eras, so the eras of the rows follow at the end of a message, in the order of the rows.
 */
final class StateCodec {

  private StateCodec() {}

  static void writeSummary(MessageBufferPacker out, @Nullable StateSummary summary)
      throws IOException {
    if (summary != null) {
      writeVersion(out, summary.completeTo());
      out.packLong(summary.digest());
    }
  }

  // Nodes of earlier releases send no summary.
  static @Nullable StateSummary readSummary(MessageUnpacker in) throws IOException {
    return in.hasNext() ? new StateSummary(readVersion(in), in.unpackLong()) : null;
  }

  private static void writeVersion(MessageBufferPacker out, StoreVersion version)
      throws IOException {
    out.packLong(version.era()).packLong(version.version());
  }

  private static StoreVersion readVersion(MessageUnpacker in) throws IOException {
    return new StoreVersion(in.unpackLong(), in.unpackLong());
  }

  private static StoreVersion readWithoutEra(MessageUnpacker in) throws IOException {
    return new StoreVersion(StoreVersion.UNKNOWN_ERA, in.unpackLong());
  }

  private static StoreVersion readEra(MessageUnpacker in, StoreVersion withoutEra)
      throws IOException {
    return in.hasNext() ? new StoreVersion(in.unpackLong(), withoutEra.version()) : withoutEra;
  }

  static void writeRows(MessageBufferPacker out, List<PeerMessage.StateRow> rows)
      throws IOException {
    out.packInt(rows.size());
    for (PeerMessage.StateRow row : rows) {
      out.packString(row.key()).packLong(row.rowVersion().version());
      PackedFields.writeBytes(out, row.value());
    }
  }

  static PeerMessage.StateRows readRows(MessageUnpacker in) throws IOException {
    int count = PackedFields.readListSize(in);
    List<PeerMessage.StateRow> rows = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      rows.add(
          new PeerMessage.StateRow(
              in.unpackString(), readWithoutEra(in), PackedFields.readBytes(in)));
    }
    return new PeerMessage.StateRows(rows);
  }

  static void writeRequest(MessageBufferPacker out, PeerMessage.StateRequest request)
      throws IOException {
    if (request.acceptsDeltas()) {
      out.packInt(request.held().size());
      for (PeerMessage.HeldRow row : request.held()) {
        out.packString(row.key()).packLong(row.rowVersion().version());
      }
      for (PeerMessage.HeldRow row : request.held()) {
        out.packLong(row.rowVersion().era());
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
      held.add(new PeerMessage.HeldRow(in.unpackString(), readWithoutEra(in)));
    }
    for (int i = 0; i < count; i++) {
      PeerMessage.HeldRow row = held.get(i);
      held.set(i, new PeerMessage.HeldRow(row.key(), readEra(in, row.rowVersion())));
    }
    return new PeerMessage.StateRequest(true, held);
  }

  static void writeDeltas(MessageBufferPacker out, PeerMessage.StateDeltas deltas)
      throws IOException {
    out.packInt(deltas.rows().size());
    for (PeerMessage.RowDelta row : deltas.rows()) {
      out.packString(row.key())
          .packLong(row.rowVersion().version())
          .packLong(row.baseVersion().version());
      PackedFields.writeBytes(out, row.delta());
    }
    StoreVersion completeTo = deltas.completeTo();
    if (completeTo == null) {
      return;
    }
    writeVersion(out, completeTo);
    out.packInt(deltas.removed().size());
    for (String key : deltas.removed()) {
      out.packString(key);
    }
    for (PeerMessage.RowDelta row : deltas.rows()) {
      out.packLong(row.rowVersion().era()).packLong(row.baseVersion().era());
    }
  }

  static PeerMessage.StateDeltas readDeltas(MessageUnpacker in) throws IOException {
    int count = PackedFields.readListSize(in);
    List<PeerMessage.RowDelta> rows = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      rows.add(
          new PeerMessage.RowDelta(
              in.unpackString(),
              readWithoutEra(in),
              readWithoutEra(in),
              PackedFields.readBytes(in)));
    }
    if (!in.hasNext()) {
      return new PeerMessage.StateDeltas(rows, null, List.of());
    }
    StoreVersion completeTo = readVersion(in);
    int removedCount = PackedFields.readListSize(in);
    List<String> removed = new ArrayList<>();
    for (int i = 0; i < removedCount; i++) {
      removed.add(in.unpackString());
    }
    for (int i = 0; i < count; i++) {
      PeerMessage.RowDelta row = rows.get(i);
      rows.set(
          i,
          new PeerMessage.RowDelta(
              row.key(),
              readEra(in, row.rowVersion()),
              readEra(in, row.baseVersion()),
              row.delta()));
    }
    return new PeerMessage.StateDeltas(rows, completeTo, removed);
  }
}
