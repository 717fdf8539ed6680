package org.acaciapond.mesh.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.Arrays;
import org.acaciapond.mesh.target.TargetDeparture;
import org.acaciapond.mesh.target.TargetDepartures;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

class NodeRowCodecTest {

  private static final NodeRecord NODE = new NodeRecord("n1", "10.0.0.1", 7380, "z1", "s", 4_711);
  private static final TargetDepartures DEPARTURES =
      TargetDepartures.NONE
          .with(new TargetDeparture("i-1", 0, 1_796_474_449_230L))
          .with(new TargetDeparture("i-2", 1_796_474_449_230L, 1_796_474_450_000L));

  private static byte[] rowOfEarlierRelease() throws IOException {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      PeerCodec.writeNode(out, NODE);
      return out.toByteArray();
    }
  }

  @Test
  void rowIsDecodedAsEncoded() {
    NodeRow row = new NodeRow(NODE, DEPARTURES);
    assertEquals(row, NodeRowCodec.decode(NodeRowCodec.encode(row)));
  }

  @Test
  void rowOfEarlierReleaseHasNoDepartures() throws IOException {
    assertEquals(
        new NodeRow(NODE, TargetDepartures.NONE), NodeRowCodec.decode(rowOfEarlierRelease()));
  }

  /** Earlier releases read the registration record and ignore what follows it. */
  @Test
  void rowBeginsLikeThatOfEarlierRelease() throws IOException {
    byte[] earlier = rowOfEarlierRelease();
    byte[] row = NodeRowCodec.encode(new NodeRow(NODE, DEPARTURES));
    assertEquals(0, Arrays.compare(earlier, Arrays.copyOf(row, earlier.length)));
  }

  @Test
  void truncatedRowIsRejected() {
    byte[] row = NodeRowCodec.encode(new NodeRow(NODE, DEPARTURES));
    byte[] truncated = Arrays.copyOf(row, row.length - 1);
    assertThrows(PeerException.class, () -> NodeRowCodec.decode(truncated));
  }
}
