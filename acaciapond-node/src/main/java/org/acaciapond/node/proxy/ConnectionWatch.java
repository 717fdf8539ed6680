package org.acaciapond.node.proxy;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Liveness monitor of one connection to another node; confined to the event loop of the connection.
 *
 * <p>Any response proves that the connection is alive, so a ping is sent only when calls are in
 * flight and nothing was received for {@link #CHECK_INTERVAL_MS}. A connection that leaves a ping
 * unanswered for 500 ms accepts no new calls; one that leaves it unanswered for 1,750 ms is closed,
 * which is within 2 s after it stopped responding.
 */
final class ConnectionWatch {

  private static final Logger LOG = LogManager.getLogger(ConnectionWatch.class);
  private static final long CHECK_INTERVAL_MS = 250;
  private static final int UNUSABLE_TICKS = 3;
  private static final int DEAD_TICKS = 8;

  /** Grace period of a shutdown; longer than the time until a silent connection is closed. */
  private static final long SHUTDOWN_GRACE_MS = 60_000;

  /** A quarter of the concurrent streams that an inbound listener allows per connection. */
  private static final int MAX_UNUSED_STREAMS = 256;

  private static final Buffer PING_PAYLOAD = Buffer.buffer(new byte[8]);

  private final Vertx vertx;
  private final HttpConnection connection;
  private final RequestPathCounters counters;
  private int inFlight;
  private boolean receivedSinceCheck;
  private boolean unusable;
  private int unusedStreams;
  private int silentTicks;
  private long timerId;
  private Runnable onUnusable = () -> {};

  ConnectionWatch(Vertx vertx, HttpConnection connection, RequestPathCounters counters) {
    this.vertx = vertx;
    this.connection = connection;
    this.counters = counters;
  }

  /**
   * Starts monitoring the connection.
   *
   * @param onUnusable called once when the connection stops accepting new calls
   * @param onClosed called once when it is closed, after {@code onUnusable}
   */
  void start(Runnable onUnusable, Runnable onClosed) {
    this.onUnusable = onUnusable;
    timerId = vertx.setPeriodic(CHECK_INTERVAL_MS, id -> checkLiveness());
    // Each call on the connection reports the loss itself.
    connection.exceptionHandler(error -> {});
    connection.closeHandler(
        ignored -> {
          vertx.cancelTimer(timerId);
          markUnusable();
          onClosed.run();
        });
  }

  void onCallStarted() {
    inFlight++;
  }

  void onCallEnded() {
    inFlight--;
  }

  /** Records that data arrived on the connection. */
  void onDataReceived() {
    receivedSinceCheck = true;
  }

  /**
   * Records a stream that was opened but never used. The Vert.x 4.5 client counts such a stream as
   * open until the connection closes, so a connection with many of them is replaced.
   */
  void onStreamUnused() {
    unusedStreams++;
    if (unusedStreams == MAX_UNUSED_STREAMS && !unusable) {
      markUnusable();
      connection.shutdown(SHUTDOWN_GRACE_MS);
    }
  }

  private void markUnusable() {
    if (!unusable) {
      unusable = true;
      onUnusable.run();
    }
  }

  private void checkLiveness() {
    if (receivedSinceCheck || inFlight == 0) {
      receivedSinceCheck = false;
      silentTicks = 0;
      return;
    }
    silentTicks++;
    if (silentTicks == 1) {
      connection.ping(PING_PAYLOAD).onSuccess(ack -> receivedSinceCheck = true);
    } else if (silentTicks == UNUSABLE_TICKS && !unusable) {
      markUnusable();
      // New calls use a new connection, while the calls in flight may still be answered.
      connection.shutdown(SHUTDOWN_GRACE_MS);
    } else if (silentTicks == DEAD_TICKS) {
      counters.silentConnections.increment();
      LOG.info("Closing the connection to {}: liveness ping timed out", connection.remoteAddress());
      connection.close();
    }
  }
}
