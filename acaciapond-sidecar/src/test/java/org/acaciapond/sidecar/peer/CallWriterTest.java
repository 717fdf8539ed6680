package org.acaciapond.sidecar.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.acaciapond.common.time.ManualTimeSource;
import org.acaciapond.http.MemoryAccount;
import org.acaciapond.mesh.call.MeshCall;
import org.acaciapond.mesh.peer.PeerMessage;
import org.junit.jupiter.api.Test;

class CallWriterTest {

  private static final int LONG_BODY_BYTES = 200_000;
  private static final int LEFT_MS = 1_000;

  private final List<PeerMessage> sent = new ArrayList<>();
  private final ManualTimeSource time = new ManualTimeSource(Instant.EPOCH);
  private int writableMessages = Integer.MAX_VALUE;
  private final CallWriter writer = new CallWriter(this::send, () -> writableMessages > 0, time);

  CallWriterTest() {
    writer.setAcceptsParts(true);
  }

  private void send(PeerMessage message) {
    writableMessages--;
    sent.add(message);
  }

  private static MeshCall call(int bytes) {
    byte[] body = new byte[bytes];
    new Random(bytes).nextBytes(body);
    return new MeshCall(
        "a", "POST", "/", List.of(), body, LEFT_MS, LEFT_MS, 1, "r", "o", "i", true, false, "");
  }

  private byte[] received(long callNumber) {
    ReceivedParts parts = new ReceivedParts(Integer.MAX_VALUE, MemoryAccount.unlimited());
    byte[] body = {};
    for (PeerMessage message : sent) {
      if (message instanceof PeerMessage.CallPart part) {
        assertTrue(parts.add(part.callNumber(), part.bytes()));
      } else if (message instanceof PeerMessage.Call call && call.callNumber() == callNumber) {
        body = parts.complete(callNumber, call.call().body());
      }
    }
    return body;
  }

  /** Guards against bodies that are mixed or incomplete when several are sent in turn. */
  @Test
  void bodiesSentInTurnArriveComplete() {
    writableMessages = 3;
    writer.write(1, call(LONG_BODY_BYTES));
    writer.write(2, call(LONG_BODY_BYTES + 1));
    writer.write(3, call(10));
    while (writer.isPending(1) || writer.isPending(2)) {
      writableMessages = 2;
      writer.writePending();
    }
    assertArrayEquals(call(LONG_BODY_BYTES).body(), received(1));
    assertArrayEquals(call(LONG_BODY_BYTES + 1).body(), received(2));
    assertArrayEquals(call(10).body(), received(3));
  }

  /** Guards against a call that runs longer than its caller waits, as its body took time. */
  @Test
  void timeThatTheBodyTakesIsNotLeft() {
    writableMessages = 1;
    writer.write(1, call(LONG_BODY_BYTES));
    time.advance(Duration.ofMillis(400));
    writableMessages = 100;
    writer.writePending();
    PeerMessage.Call last = assertInstanceOf(PeerMessage.Call.class, sent.get(sent.size() - 1));
    assertEquals(LEFT_MS - 400, last.call().leftMs());
  }

  @Test
  void cancelledCallIsNotContinued() {
    writableMessages = 1;
    writer.write(1, call(LONG_BODY_BYTES));
    assertTrue(writer.cancel(1));
    assertFalse(writer.cancel(1));
    writableMessages = 100;
    writer.writePending();
    assertEquals(1, sent.size());
  }

  /** Guards against messages that a node of an earlier release answers with a close. */
  @Test
  void earlierReleaseGetsTheWholeBodyAtOnce() {
    writer.setAcceptsParts(false);
    writer.write(1, call(LONG_BODY_BYTES));
    assertInstanceOf(PeerMessage.Call.class, sent.get(0));
    assertEquals(1, sent.size());
  }
}
