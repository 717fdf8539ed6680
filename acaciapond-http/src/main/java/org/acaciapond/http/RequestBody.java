package org.acaciapond.http;

import io.netty.buffer.ByteBuf;

/** Body of the request that a connection is receiving, and the memory that is reserved for it. */
final class RequestBody implements UploadQueue.Upload {

  private static final int MAX_STEP_BYTES = 1 << 20;

  private final MemoryAccount memory;
  private final UploadQueue uploads;
  private final Owner owner;
  private final BodyBuffer buffer = new BodyBuffer();
  private final Transfer transfer = new Transfer(() -> this.reservedBytes, this::onEvicted);
  private int announced;
  private long reservedBytes;
  private long requestedBytes;
  private boolean registered;

  /** Connection that receives the body. */
  interface Owner {
    /** Stops reading until {@link #resumeReading}. */
    void pauseReading();

    /** Memory is available for what the client sends next. */
    void resumeReading();

    /** There is no memory for the body. */
    void refuseBody();

    /** The body made no progress while other bodies waited for memory. */
    void endStalledBody();
  }

  RequestBody(MemoryAccount memory, UploadQueue uploads, Owner owner) {
    this.memory = memory;
    this.uploads = uploads;
    this.owner = owner;
  }

  int size() {
    return buffer.size();
  }

  /** Returns whether the connection is paused until there is memory. */
  boolean isWaiting() {
    return requestedBytes > 0;
  }

  /**
   * Starts to receive a body.
   *
   * @param announcedBytes length of the body, 0 if it is not known yet
   */
  void start(int announcedBytes, long nowNanos) {
    registered = true;
    memory.register(transfer);
    announced = announcedBytes;
    if (announcedBytes > MemoryAccount.ORDINARY_BYTES) {
      request(announcedBytes, nowNanos);
    } else {
      reserveOrdinary(announcedBytes);
    }
    if (!isWaiting()) {
      buffer.expect(announcedBytes);
    }
  }

  void add(ByteBuf part, long nowNanos) {
    int bytes = part.readableBytes();
    long missing = buffer.size() + bytes - reservedBytes;
    buffer.add(part);
    transfer.moved(bytes);
    if (missing <= 0 || !registered) {
      return;
    }
    if (buffer.size() <= MemoryAccount.ORDINARY_BYTES) {
      reserveOrdinary(missing);
    } else {
      // What was read is held already.
      memory.add(missing);
      reservedBytes += missing;
      if (!isWaiting()) {
        request(Math.min(MAX_STEP_BYTES, buffer.size()), nowNanos);
      }
    }
  }

  private void reserveOrdinary(long bytes) {
    boolean available = memory.reserveOrdinary(bytes);
    if (!registered) {
      // The connection of this body was ended to make room.
      memory.release(available ? bytes : 0);
    } else if (available) {
      reservedBytes += bytes;
    } else {
      owner.refuseBody();
    }
  }

  private void request(long bytes, long nowNanos) {
    switch (uploads.request(this, bytes, nowNanos)) {
      case GRANTED -> reservedBytes += bytes;
      case WAITS -> {
        requestedBytes = bytes;
        owner.pauseReading();
      }
      default -> owner.refuseBody();
    }
  }

  @Override
  public void onGranted() {
    final long heldBefore = reservedBytes;
    reservedBytes += requestedBytes;
    requestedBytes = 0;
    if (announced > 0) {
      // The reservation includes what was received while the body waited.
      buffer.expect(announced);
      reservedBytes -= heldBefore;
      memory.release(heldBefore);
    }
    owner.resumeReading();
  }

  @Override
  public void onRefused() {
    requestedBytes = 0;
    owner.refuseBody();
  }

  private void onEvicted() {
    if (isWaiting()) {
      owner.refuseBody();
    } else {
      owner.endStalledBody();
    }
  }

  /** Passes the complete body, with the memory that it needs, to an exchange. */
  void moveTo(HttpExchange exchange) {
    byte[] bytes = buffer.take();
    clear();
    memory.add(bytes.length);
    exchange.setBody(bytes);
    exchange.hold(bytes.length);
  }

  /** Discards what was received and releases the memory. */
  void clear() {
    if (isWaiting()) {
      requestedBytes = 0;
      uploads.remove(this);
    }
    if (registered) {
      registered = false;
      memory.unregister(transfer);
    }
    buffer.clear();
    long released = reservedBytes;
    reservedBytes = 0;
    transfer.restart();
    memory.release(released);
  }
}
