package org.acaciapond.sidecar.peer;

import io.vertx.core.Vertx;
import java.util.OptionalInt;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.http.MemoryAccount;
import org.acaciapond.mesh.admission.BodySchedule;
import org.acaciapond.mesh.call.MeshCall;
import org.acaciapond.mesh.call.MeshResponse;
import org.acaciapond.mesh.call.Reason;
import org.acaciapond.mesh.peer.PeerMessage;
import org.acaciapond.sidecar.target.TargetGateway;

/**
 * Calls with long bodies that other nodes offer to the local target. Their bodies are requested
 * when the target would admit the call, in the order of {@link BodySchedule}. A call whose body has
 * arrived is submitted like any other.
 */
final class InboundBodies {

  private static final int MAX_BODY_BYTES = 17 << 20;
  private static final byte[] NO_BYTES = new byte[0];

  private final Vertx vertx;
  private final TargetGateway gateway;
  private final MemoryAccount memory;
  private final Supplier<MeshResponse> outOfMemory;
  private final TimeSource time;
  private final BodySchedule<Offer> schedule = new BodySchedule<>();

  /** Offered call whose body has not arrived completely. */
  static final class Offer {
    private final long callNumber;
    private final MeshCall call;
    private final int bodyBytes;
    private final long offeredNanos;
    private final Consumer<PeerMessage> sender;
    private final Consumer<MeshResponse> onRefused;
    private final Consumer<MeshCall> onComplete;
    // Allocated and reserved when the first bytes arrive.
    private byte[] body = NO_BYTES;
    private int receivedBytes;
    private long timer = -1;

    private Offer(
        long callNumber,
        MeshCall call,
        int bodyBytes,
        long offeredNanos,
        Consumer<PeerMessage> sender,
        Consumer<MeshResponse> onRefused,
        Consumer<MeshCall> onComplete) {
      this.callNumber = callNumber;
      this.call = call;
      this.bodyBytes = bodyBytes;
      this.offeredNanos = offeredNanos;
      this.sender = sender;
      this.onRefused = onRefused;
      this.onComplete = onComplete;
    }
  }

  /**
   * Creates a collection without calls.
   *
   * @param memory account in which the bodies are reserved while they arrive
   * @param outOfMemory creates the response to a call whose body has no room in the account
   */
  InboundBodies(
      Vertx vertx,
      TargetGateway gateway,
      MemoryAccount memory,
      Supplier<MeshResponse> outOfMemory,
      TimeSource time) {
    this.vertx = vertx;
    this.gateway = gateway;
    this.memory = memory;
    this.outOfMemory = outOfMemory;
    this.time = time;
  }

  /**
   * Accepts or refuses an offered call.
   *
   * @param message the offer
   * @param call the offered call with the times that are left now
   * @param sender sends a message to the node that offers the call
   * @param onRefused receives the response, possibly before this method returns
   * @param onComplete receives the call with its body and the times that are left then
   */
  Offer accept(
      PeerMessage.CallOffer message,
      MeshCall call,
      Consumer<PeerMessage> sender,
      Consumer<MeshResponse> onRefused,
      Consumer<MeshCall> onComplete) {
    long nowNanos = time.nanoTime();
    Offer offer =
        new Offer(
            message.callNumber(),
            call,
            message.bodyBytes(),
            nowNanos,
            sender,
            onRefused,
            onComplete);
    MeshResponse refusal = gateway.refusalNow(call);
    if (refusal != null) {
      onRefused.accept(refusal);
      return offer;
    }
    if (message.bodyBytes() < 0 || message.bodyBytes() > MAX_BODY_BYTES) {
      onRefused.accept(gateway.refusal(Reason.BROKEN, 0));
      return offer;
    }
    if (message.bodyBytes() == 0) {
      sender.accept(new PeerMessage.BodyCredit(message.callNumber(), 0));
      return offer;
    }
    OptionalInt retryAfterMs =
        schedule.offer(
            offer,
            gateway.callClass(call),
            message.bodyBytes(),
            gateway.expectedServiceUs(call),
            nowNanos);
    if (retryAfterMs.isPresent()) {
      onRefused.accept(gateway.refusal(Reason.FULL, retryAfterMs.getAsInt()));
      return offer;
    }
    // The sender learns that the offer has arrived, however long the body has to wait.
    sender.accept(new PeerMessage.BodyCredit(message.callNumber(), 0));
    long untilLatestStartMs = (gateway.latestStartNanos(call) - nowNanos) / 1_000_000;
    offer.timer = vertx.setTimer(Math.max(1, untilLatestStartMs), id -> expire(offer));
    gateway.setAnnouncedCalls(schedule.size());
    requestBodies();
    return offer;
  }

  private void expire(Offer offer) {
    cancel(offer);
    offer.onRefused.accept(gateway.refusal(Reason.EXPIRED, 0));
  }

  /** Drops an offer that its caller cancelled, or that can no longer be answered. */
  void cancel(Offer offer) {
    schedule.remove(offer, time.nanoTime());
    vertx.cancelTimer(offer.timer);
    release(offer);
    gateway.setAnnouncedCalls(schedule.size());
    requestBodies();
  }

  /** Adds bytes that have arrived. */
  void receive(Offer offer, byte[] bytes) {
    if (offer.timer < 0) {
      // The offer of an empty body, which is not scheduled.
      complete(offer);
      return;
    }
    if (offer.body.length == 0 && !reserve(offer)) {
      cancel(offer);
      offer.onRefused.accept(outOfMemory.get());
      return;
    }
    int length = Math.min(bytes.length, offer.body.length - offer.receivedBytes);
    System.arraycopy(bytes, 0, offer.body, offer.receivedBytes, length);
    offer.receivedBytes += length;
    if (schedule.receive(offer, bytes.length, time.nanoTime())) {
      vertx.cancelTimer(offer.timer);
      gateway.setAnnouncedCalls(schedule.size());
      complete(offer);
    }
    requestBodies();
  }

  private boolean reserve(Offer offer) {
    if (!memory.reserveOrEvict(offer.bodyBytes)) {
      return false;
    }
    offer.body = new byte[offer.bodyBytes];
    return true;
  }

  private void release(Offer offer) {
    memory.release(offer.body.length);
    offer.body = NO_BYTES;
  }

  private void complete(Offer offer) {
    int elapsedMs = (int) ((time.nanoTime() - offer.offeredNanos) / 1_000_000);
    byte[] body = offer.body;
    release(offer);
    offer.onComplete.accept(offer.call.withBody(body).afterTransit(elapsedMs));
  }

  /** Requests more bytes; called periodically as well, in case that a sender does not send. */
  void requestBodies() {
    for (BodySchedule.Request<Offer> request : schedule.nextRequests(time.nanoTime())) {
      Offer offer = request.offer();
      offer.sender.accept(new PeerMessage.BodyCredit(offer.callNumber, request.bytes()));
    }
  }
}
