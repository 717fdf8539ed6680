package org.acaciapond.sidecar.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.acaciapond.mesh.call.MeshResponse;
import org.acaciapond.mesh.call.Outcome;
import org.acaciapond.mesh.call.Reason;
import org.acaciapond.mesh.peer.PeerMessage;
import org.acaciapond.mesh.target.TargetLoad;
import org.junit.jupiter.api.Test;

class ResponseWriterTest {

  private static final int LONG_BODY_BYTES = 500_000;
  private static final int MAX_PENDING_BYTES = 1_200_000;

  private final List<PeerMessage> sent = new ArrayList<>();
  private int writableMessages = Integer.MAX_VALUE;
  private final ResponseWriter writer =
      new ResponseWriter(this::send, () -> writableMessages > 0, MAX_PENDING_BYTES);

  ResponseWriterTest() {
    writer.setAcceptsParts(true);
  }

  private void send(PeerMessage message) {
    writableMessages--;
    sent.add(message);
  }

  private static MeshResponse response(int bytes) {
    byte[] body = new byte[bytes];
    new Random(bytes).nextBytes(body);
    return new MeshResponse(
        Outcome.ANSWERED, Reason.NONE, 0, 200, List.of(), body, 1, TargetLoad.NONE);
  }

  private MeshResponse received(long callNumber) {
    ResponseParts parts = new ResponseParts(MAX_PENDING_BYTES);
    MeshResponse complete = null;
    for (PeerMessage message : sent) {
      if (message instanceof PeerMessage.ResponsePart part) {
        assertTrue(parts.add(part));
      } else if (message instanceof PeerMessage.Response response) {
        MeshResponse assembled = parts.complete(response);
        complete = response.callNumber() == callNumber ? assembled : complete;
      }
    }
    return assertInstanceOf(MeshResponse.class, complete);
  }

  /** Guards against bodies that are mixed or incomplete when several are sent in turn. */
  @Test
  void bodiesSentInTurnArriveComplete() {
    writableMessages = 3;
    writer.write(1, response(LONG_BODY_BYTES));
    writer.write(2, response(LONG_BODY_BYTES + 1));
    writer.write(3, response(10));
    while (writer.pendingBytes() > 0) {
      writableMessages = 2;
      writer.writePending();
    }
    assertArrayEquals(response(LONG_BODY_BYTES).body(), received(1).body());
    assertArrayEquals(response(LONG_BODY_BYTES + 1).body(), received(2).body());
    assertArrayEquals(response(10).body(), received(3).body());
  }

  /** Guards against short responses that wait behind a long body on a slow connection. */
  @Test
  void shortResponseOvertakesLongBody() {
    writableMessages = 2;
    writer.write(1, response(LONG_BODY_BYTES));
    int before = sent.size();
    writer.write(2, response(100));
    assertEquals(2, before);
    PeerMessage.Response last =
        assertInstanceOf(PeerMessage.Response.class, sent.get(sent.size() - 1));
    assertEquals(2, last.callNumber());
  }

  @Test
  void cancelledResponseIsNotContinued() {
    writableMessages = 1;
    writer.write(1, response(LONG_BODY_BYTES));
    writer.cancel(1);
    writableMessages = 100;
    writer.writePending();
    assertEquals(1, sent.size());
    assertEquals(0, writer.pendingBytes());
  }

  /** Guards against a slow peer that makes this node hold more and more bodies. */
  @Test
  void bodiesBeyondTheLimitAreNotKept() {
    writableMessages = 0;
    for (int call = 0; call < 10; call++) {
      writer.write(call, response(LONG_BODY_BYTES));
    }
    assertTrue(writer.pendingBytes() <= MAX_PENDING_BYTES, writer.pendingBytes() + " bytes");
    assertEquals(8, sent.size());
    PeerMessage.Response refused = assertInstanceOf(PeerMessage.Response.class, sent.get(0));
    assertEquals(Outcome.UNKNOWN, refused.response().outcome());
  }

  @Test
  void earlierReleaseGetsTheWholeBodyAtOnce() {
    writer.setAcceptsParts(false);
    writer.write(1, response(LONG_BODY_BYTES));
    assertEquals(1, sent.size());
  }

  /** Guards against a reason that makes a node of the earlier release close the connection. */
  @Test
  void earlierReleaseGetsNoReasonThatItDoesNotKnow() {
    MeshResponse failed = response(10).withReason(Reason.NESTED_FAILED);
    writer.write(1, failed);
    writer.setAcceptsParts(false);
    writer.write(2, failed);
    List<Reason> reasons =
        sent.stream().map(each -> ((PeerMessage.Response) each).response().reason()).toList();
    assertEquals(List.of(Reason.NESTED_FAILED, Reason.NONE), reasons);
  }

  /** Guards against a peer that sends parts without end. */
  @Test
  void partsBeyondTheLimitAreRejected() {
    ResponseParts parts = new ResponseParts(100);
    assertTrue(parts.add(new PeerMessage.ResponsePart(1, new byte[60])));
    assertEquals(false, parts.add(new PeerMessage.ResponsePart(2, new byte[60])));
    parts.remove(1);
    assertTrue(parts.add(new PeerMessage.ResponsePart(2, new byte[60])));
  }
}
