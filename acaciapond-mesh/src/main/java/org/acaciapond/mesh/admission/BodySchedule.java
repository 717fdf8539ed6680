package org.acaciapond.mesh.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.TreeSet;

/**
 * Schedule of the long bodies that other nodes offer to this one. The receiver requests them part
 * by part, in the order of admission, and has only as many bytes on their way as keep its link
 * busy. Bodies sent without a request fill the queue of a slow link, in which short calls of a much
 * higher urgency then wait until their deadline. An offer whose body would arrive too late is
 * refused before its body has used the link.
 *
 * @param <T> type of offers
 */
public final class BodySchedule<T> {

  private static final int PART_BYTES = 16 << 10;
  // Requested bytes that have not arrived. At 10 Mbit/s they delay a short call by 40 ms at most.
  private static final int WINDOW_BYTES = 48 << 10;
  private static final int BODY_WINDOW_BYTES = 32 << 10;
  // Requested bytes that have been due for this long no longer hold up other bodies: their sender
  // may be lost.
  private static final long STALL_NANOS = 200_000_000L;
  private static final double MIN_RATE_BYTES_PER_MS = 100;
  private static final long RATE_WINDOW_NANOS = 1_000_000_000L;
  private static final int MIN_RETRY_AFTER_MS = 20;

  private static final Comparator<Body<?>> ORDER =
      Comparator.<Body<?>>comparingInt(body -> body.callClass.rank())
          .thenComparingLong(body -> body.callClass.objectiveAtNanos())
          .thenComparingLong(body -> body.arrivalNumber);

  private final TreeSet<Body<T>> bodies = new TreeSet<>(ORDER);
  private final Map<T, Body<T>> byOffer = new IdentityHashMap<>();
  private long nextArrivalNumber;
  private long lastNanos;
  private double busyNanos;
  private double busyBytes;

  /** Body that has not arrived completely. */
  private static final class Body<T> {
    final T offer;
    final CallClass callClass;
    final int bytes;
    final long arrivalNumber;
    int requestedBytes;
    int receivedBytes;
    long progressNanos;

    Body(T offer, CallClass callClass, int bytes, long arrivalNumber) {
      this.offer = offer;
      this.callClass = callClass;
      this.bytes = bytes;
      this.arrivalNumber = arrivalNumber;
    }

    int dueBytes() {
      return requestedBytes - receivedBytes;
    }

    boolean isStalled(long nowNanos) {
      return nowNanos - progressNanos > STALL_NANOS;
    }
  }

  /**
   * Bytes to request from the sender of a body.
   *
   * @param offer offer that the body belongs to
   * @param bytes number of bytes in addition to those requested before
   * @param <T> type of offers
   */
  public record Request<T>(T offer, int bytes) {}

  /** Returns the number of bodies that have not arrived completely. */
  public int size() {
    return byOffer.size();
  }

  /**
   * Accepts an offer, or refuses it.
   *
   * @param bytes length of the body
   * @param serviceUs expected service time in the target
   * @return the time after which there is room, in milliseconds, if the offer is refused
   */
  public OptionalInt offer(
      T offer, CallClass callClass, int bytes, double serviceUs, long nowNanos) {
    Body<T> added = new Body<>(offer, callClass, bytes, nextArrivalNumber++);
    double waitUs = waitUs(bodies.headSet(added));
    double ownUs = bytes / rateBytesPerMs() * 1_000;
    double limitUs =
        WaitLimit.limitUs(
            callClass.rank(),
            (callClass.objectiveAtNanos() - nowNanos) / 1_000.0 - ownUs,
            (callClass.deadlineNanos() - nowNanos) / 1_000.0 - ownUs,
            serviceUs);
    if (waitUs > limitUs) {
      return OptionalInt.of((int) Math.max(MIN_RETRY_AFTER_MS, (waitUs - limitUs) / 1_000));
    }
    added.progressNanos = nowNanos;
    bodies.add(added);
    byOffer.put(offer, added);
    return OptionalInt.empty();
  }

  private double waitUs(Iterable<Body<T>> ahead) {
    long bytes = 0;
    for (Body<T> body : ahead) {
      bytes += body.bytes - body.receivedBytes;
    }
    return bytes / rateBytesPerMs() * 1_000;
  }

  // Before the first measurement the link counts as fast.
  private double rateBytesPerMs() {
    if (busyBytes == 0) {
      return Double.POSITIVE_INFINITY;
    }
    return Math.max(MIN_RATE_BYTES_PER_MS, busyBytes / (busyNanos / 1e6));
  }

  /** Records bytes of a body that have arrived; returns whether it is complete. */
  public boolean receive(T offer, int bytes, long nowNanos) {
    measure(bytes, nowNanos);
    Body<T> body = byOffer.get(offer);
    if (body == null) {
      return false;
    }
    body.receivedBytes += bytes;
    body.progressNanos = nowNanos;
    if (body.receivedBytes < body.bytes) {
      return false;
    }
    remove(offer, nowNanos);
    return true;
  }

  /** Removes an offer that was cancelled, or whose time has passed. */
  public void remove(T offer, long nowNanos) {
    measure(0, nowNanos);
    Body<T> body = byOffer.remove(offer);
    if (body != null) {
      bodies.remove(body);
    }
  }

  // The link is measured while requested bytes are on their way.
  private void measure(int bytes, long nowNanos) {
    if (dueBytes(nowNanos) > 0) {
      busyNanos += nowNanos - lastNanos;
      busyBytes += bytes;
      if (busyNanos > RATE_WINDOW_NANOS) {
        busyNanos /= 2;
        busyBytes /= 2;
      }
    }
    lastNanos = nowNanos;
  }

  private int dueBytes(long nowNanos) {
    int due = 0;
    for (Body<T> body : bodies) {
      due += body.isStalled(nowNanos) ? 0 : body.dueBytes();
    }
    return due;
  }

  /** Returns the bytes to request now. */
  public List<Request<T>> nextRequests(long nowNanos) {
    measure(0, nowNanos);
    List<Request<T>> requests = new ArrayList<>();
    int due = dueBytes(nowNanos);
    for (Body<T> body : bodies) {
      int bytes = requestParts(body, WINDOW_BYTES - due, nowNanos);
      if (bytes > 0) {
        due += bytes;
        requests.add(new Request<>(body.offer, bytes));
      }
    }
    return requests;
  }

  private int requestParts(Body<T> body, int maxBytes, long nowNanos) {
    int bytes = 0;
    while (body.requestedBytes < body.bytes) {
      int part = Math.min(PART_BYTES, body.bytes - body.requestedBytes);
      if (bytes + part > maxBytes || body.dueBytes() + part > BODY_WINDOW_BYTES) {
        break;
      }
      body.progressNanos = body.dueBytes() == 0 ? nowNanos : body.progressNanos;
      body.requestedBytes += part;
      bytes += part;
    }
    return bytes;
  }
}
