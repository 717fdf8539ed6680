package org.acaciapond.mesh.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.acaciapond.mesh.store.StoreVersion;
import org.junit.jupiter.api.Test;

class RowHistoryTest {

  private final RowHistory sender = new RowHistory();
  private final RowHistory receiver = new RowHistory();

  private static PeerMessage.StateRow row(long version) {
    byte[] value = ("value of version " + version).getBytes(StandardCharsets.UTF_8);
    return new PeerMessage.StateRow("config", new StoreVersion(1, version), value);
  }

  private PeerMessage.RowDelta deltaFor(List<PeerMessage.HeldRow> held) {
    List<PeerMessage.RowDelta> rows = sender.newerThan(held);
    assertEquals(1, rows.size());
    return rows.get(0);
  }

  @Test
  void nodeWithEarlierValueReceivesDelta() {
    sender.record(row(3));
    receiver.record(row(3));
    sender.record(row(5));

    PeerMessage.RowDelta delta = deltaFor(receiver.held());

    assertEquals(new StoreVersion(1, 3), delta.baseVersion());
    assertArrayEquals(row(5).value(), receiver.restore(delta).value());
  }

  @Test
  void nodeWithoutValueReceivesWholeRow() {
    sender.record(row(5));
    PeerMessage.RowDelta whole = deltaFor(receiver.held());
    assertEquals(RowHistory.WHOLE, whole.baseVersion());
    assertArrayEquals(row(5).value(), receiver.restore(whole).value());
  }

  @Test
  void nodeThatIsFarBehindReceivesWholeRow() {
    receiver.record(row(1));
    for (int version = 1; version <= 20; version++) {
      sender.record(row(version));
    }
    assertEquals(RowHistory.WHOLE, deltaFor(receiver.held()).baseVersion());
  }

  @Test
  void nothingIsSentToNodeWithTheSameRows() {
    sender.record(row(5));
    receiver.record(row(5));
    assertTrue(sender.newerThan(receiver.held()).isEmpty());
  }

  @Test
  void deltaToUnknownValueIsRejected() {
    sender.record(row(3));
    sender.record(row(5));
    PeerMessage.RowDelta delta =
        deltaFor(List.of(new PeerMessage.HeldRow("config", new StoreVersion(1, 3))));
    assertThrows(PeerException.class, () -> receiver.restore(delta));
  }
}
