package org.acaciapond.sidecar.peer;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Iterator;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.mesh.call.MeshCall;
import org.acaciapond.mesh.peer.PeerMessage;

/**
 * Writer of the calls on one connection between nodes. Long bodies are sent in parts, in turn, and
 * only as fast as the connection takes them, so that they are not copied as a whole and do not
 * delay short calls. Not thread-safe.
 */
final class CallWriter {

  /** Maximum length of a part of a body. */
  static final int PART_BYTES = 16 << 10;

  private final Consumer<PeerMessage> sender;
  private final BooleanSupplier writable;
  private final TimeSource time;
  private final Deque<PendingCall> pending = new ArrayDeque<>();
  private boolean acceptsParts;

  /** Call whose body is longer than one part. */
  private static final class PendingCall {
    private final long callNumber;
    private final MeshCall call;
    private final long startNanos;
    private int sentBytes;

    PendingCall(long callNumber, MeshCall call, long startNanos) {
      this.callNumber = callNumber;
      this.call = call;
      this.startNanos = startNanos;
    }

    int remainingBytes() {
      return call.body().length - sentBytes;
    }

    byte[] nextBytes(int count) {
      int from = sentBytes;
      sentBytes += count;
      return Arrays.copyOfRange(call.body(), from, sentBytes);
    }
  }

  /**
   * Creates a writer.
   *
   * @param sender sends a message on the connection
   * @param writable whether the connection takes more bytes now
   * @param time clock
   */
  CallWriter(Consumer<PeerMessage> sender, BooleanSupplier writable, TimeSource time) {
    this.sender = sender;
    this.writable = writable;
    this.time = time;
  }

  /** Sets whether the other node can read bodies in parts; those of earlier releases cannot. */
  void setAcceptsParts(boolean value) {
    acceptsParts = value;
  }

  /** Sends a call. */
  void write(long callNumber, MeshCall call) {
    if (acceptsParts && call.body().length > PART_BYTES) {
      pending.add(new PendingCall(callNumber, call, time.nanoTime()));
      writePending();
    } else {
      sender.accept(new PeerMessage.Call(callNumber, call, time.nanoTime() / 1_000_000));
    }
  }

  /** Continues with the pending bodies; called when the connection takes more bytes again. */
  void writePending() {
    while (!pending.isEmpty() && writable.getAsBoolean()) {
      PendingCall next = pending.remove();
      if (next.remainingBytes() > PART_BYTES) {
        byte[] part = next.nextBytes(PART_BYTES);
        pending.add(next);
        sender.accept(new PeerMessage.CallPart(next.callNumber, part));
      } else {
        sender.accept(lastMessage(next));
      }
    }
  }

  private PeerMessage lastMessage(PendingCall call) {
    long nowNanos = time.nanoTime();
    int elapsedMs = (int) ((nowNanos - call.startNanos) / 1_000_000);
    byte[] rest = call.nextBytes(call.remainingBytes());
    return new PeerMessage.Call(
        call.callNumber, call.call.withBody(rest).afterTransit(elapsedMs), nowNanos / 1_000_000);
  }

  /** Returns whether a call was not sent completely, so that it certainly has not run. */
  boolean isPending(long callNumber) {
    return pending.stream().anyMatch(each -> each.callNumber == callNumber);
  }

  /** Drops the rest of a call; returns whether there was one. */
  boolean cancel(long callNumber) {
    Iterator<PendingCall> calls = pending.iterator();
    while (calls.hasNext()) {
      if (calls.next().callNumber == callNumber) {
        calls.remove();
        return true;
      }
    }
    return false;
  }
}
