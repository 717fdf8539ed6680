package org.acaciapond.sidecar.peer;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.acaciapond.mesh.peer.PeerMessage;

/**
 * Bodies of the calls that this node has offered on one connection. They are sent as the other node
 * requests them, an empty one as one empty part. A call whose body has not been sent completely
 * certainly has not run.
 */
final class OfferedBodies {

  private static final int PART_BYTES = 16 << 10;

  private final Map<Long, Body> bodies = new HashMap<>();

  /** Body and how much of it is sent. */
  private static final class Body {
    final byte[] bytes;
    int sentBytes;
    boolean requested;

    Body(byte[] bytes) {
      this.bytes = bytes;
    }
  }

  void add(long callNumber, byte[] bytes) {
    bodies.put(callNumber, new Body(bytes));
  }

  /** Drops the body of a call that has ended. */
  void remove(long callNumber) {
    bodies.remove(callNumber);
  }

  /** Returns whether a part of the body of a call has not been sent. */
  boolean isIncomplete(long callNumber) {
    return bodies.containsKey(callNumber);
  }

  /** Returns whether the other node has not responded to the offer of a call. */
  boolean isUnanswered(long callNumber) {
    Body body = bodies.get(callNumber);
    return body != null && !body.requested;
  }

  /** Drops all bodies. */
  void clear() {
    bodies.clear();
  }

  /** Sends the requested bytes. */
  void send(PeerMessage.BodyCredit credit, Consumer<PeerMessage> sender) {
    Body body = bodies.get(credit.callNumber());
    if (body == null) {
      return;
    }
    body.requested = true;
    if (body.bytes.length == 0) {
      sender.accept(new PeerMessage.BodyPart(credit.callNumber(), body.bytes));
    }
    int end = Math.min(body.bytes.length, body.sentBytes + Math.max(0, credit.bytes()));
    while (body.sentBytes < end) {
      int partEnd = Math.min(end, body.sentBytes + PART_BYTES);
      byte[] part = Arrays.copyOfRange(body.bytes, body.sentBytes, partEnd);
      body.sentBytes = partEnd;
      sender.accept(new PeerMessage.BodyPart(credit.callNumber(), part));
    }
    if (body.sentBytes == body.bytes.length) {
      bodies.remove(credit.callNumber());
    }
  }
}
