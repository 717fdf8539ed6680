package org.acaciapond.sidecar.peer;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.acaciapond.http.MemoryAccount;
import org.acaciapond.mesh.call.MeshResponse;
import org.acaciapond.mesh.call.Outcome;
import org.acaciapond.mesh.call.Reason;
import org.acaciapond.mesh.peer.PeerMessage;

/**
 * Writer of the responses on one connection between nodes. Long bodies are sent in parts, in turn,
 * and only as fast as the connection takes them, so that they do not delay heartbeats,
 * cancellations and short responses. Not thread-safe.
 */
final class ResponseWriter {

  /** Maximum length of a part of a body. */
  static final int PART_BYTES = 16 << 10;

  private final Consumer<PeerMessage> sender;
  private final BooleanSupplier writable;
  private final int maxPendingBytes;
  private final MemoryAccount memory;
  private final Deque<PendingResponse> pending = new ArrayDeque<>();
  private boolean acceptsParts;
  private int pendingBytes;

  /** Response whose body is longer than one part. */
  private static final class PendingResponse {
    final long callNumber;
    final MeshResponse response;
    int sentBytes;

    PendingResponse(long callNumber, MeshResponse response) {
      this.callNumber = callNumber;
      this.response = response;
    }

    int remainingBytes() {
      return response.body().length - sentBytes;
    }

    byte[] nextBytes(int count) {
      int from = sentBytes;
      sentBytes += count;
      return Arrays.copyOfRange(response.body(), from, sentBytes);
    }
  }

  /**
   * Creates a writer.
   *
   * @param sender sends a message on the connection
   * @param writable whether the connection takes more bytes now
   * @param maxPendingBytes bytes of several bodies that may wait for a slow connection
   */
  ResponseWriter(Consumer<PeerMessage> sender, BooleanSupplier writable, int maxPendingBytes) {
    this(sender, writable, maxPendingBytes, MemoryAccount.unlimited());
  }

  /** Creates a writer that also reserves the bytes of pending bodies in an account. */
  ResponseWriter(
      Consumer<PeerMessage> sender,
      BooleanSupplier writable,
      int maxPendingBytes,
      MemoryAccount memory) {
    this.sender = sender;
    this.writable = writable;
    this.maxPendingBytes = maxPendingBytes;
    this.memory = memory;
  }

  /** Sets whether the other node can read bodies in parts; those of earlier releases cannot. */
  void setAcceptsParts(boolean value) {
    acceptsParts = value;
  }

  /** Sends a response; a response that does not fit is replaced by one of unknown outcome. */
  void write(long callNumber, MeshResponse response) {
    int bytes = response.body().length;
    if (!acceptsParts) {
      sender.accept(new PeerMessage.Response(callNumber, forEarlierRelease(response)));
    } else if (bytes <= PART_BYTES) {
      sender.accept(new PeerMessage.Response(callNumber, response));
    } else if ((!pending.isEmpty() && bytes > maxPendingBytes - pendingBytes)
        || !memory.reserveOrEvict(bytes)) {
      sender.accept(
          new PeerMessage.Response(
              callNumber,
              MeshResponse.withoutAnswer(Outcome.UNKNOWN, Reason.BROKEN, 0, response.load())));
    } else {
      pendingBytes += bytes;
      pending.add(new PendingResponse(callNumber, response));
      writePending();
    }
  }

  // Nodes of earlier releases close a connection on which they receive a reason that is new to
  // them.
  private static MeshResponse forEarlierRelease(MeshResponse response) {
    return response.reason() == Reason.NESTED_FAILED ? response.withReason(Reason.NONE) : response;
  }

  /** Continues with the pending bodies; called when the connection takes more bytes again. */
  void writePending() {
    while (!pending.isEmpty() && writable.getAsBoolean()) {
      PendingResponse next = pending.remove();
      if (next.remainingBytes() > PART_BYTES) {
        byte[] part = next.nextBytes(PART_BYTES);
        pending.add(next);
        sender.accept(new PeerMessage.ResponsePart(next.callNumber, part));
      } else {
        release(next);
        byte[] rest = next.nextBytes(next.remainingBytes());
        sender.accept(new PeerMessage.Response(next.callNumber, next.response.withBody(rest)));
      }
    }
  }

  /** Drops the rest of a response whose caller has cancelled the call. */
  void cancel(long callNumber) {
    pending.removeIf(
        each -> {
          boolean found = each.callNumber == callNumber;
          if (found) {
            release(each);
          }
          return found;
        });
  }

  /** Drops all pending responses. */
  void clear() {
    pending.forEach(this::release);
    pending.clear();
  }

  private void release(PendingResponse ended) {
    pendingBytes -= ended.response.body().length;
    memory.release(ended.response.body().length);
  }

  /** Returns the bytes of the bodies that are not sent completely. */
  int pendingBytes() {
    return pendingBytes;
  }
}
