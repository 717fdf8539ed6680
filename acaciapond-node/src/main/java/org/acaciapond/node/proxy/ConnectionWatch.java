package org.acaciapond.node.proxy;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Liveness check of one connection to another node; confined to the event loop of the connection.
 *
 * <p>Any answer proves the connection alive, so a ping is sent only when calls are in flight and
 * nothing was heard for {@link #INTERVAL_MS}. A connection that leaves a ping unanswered for 500 ms
 * takes no new calls; one that leaves it unanswered for 1,750 ms is closed, which is within 2 s of
 * its silence.
 */
final class ConnectionWatch {

  private static final Logger LOG = LogManager.getLogger(ConnectionWatch.class);
  private static final long INTERVAL_MS = 250;
  private static final int SUSPECT_TICKS = 3;
  private static final int DEAD_TICKS = 8;

  /** Longer than the time until the connection is closed as silent. */
  private static final long SHUTDOWN_MS = 60_000;

  /** A quarter of the streams that an inbound listener allows on a connection. */
  private static final int MAX_UNUSED_STREAMS = 256;

  private static final Buffer PING = Buffer.buffer(new byte[8]);

  private final Vertx vertx;
  private final HttpConnection connection;
  private final RequestPathCounters counters;
  private int inFlight;
  private boolean heard;
  private boolean suspected;
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
   * Starts to watch.
   *
   * @param onUnusable called once when the connection takes no new calls any more
   * @param onClosed called once when it is closed, after {@code onUnusable}
   */
  void start(Runnable onUnusable, Runnable onClosed) {
    this.onUnusable = onUnusable;
    timerId = vertx.setPeriodic(INTERVAL_MS, id -> tick());
    // The calls on the connection report its loss themselves.
    connection.exceptionHandler(error -> {});
    connection.closeHandler(
        ignored -> {
          vertx.cancelTimer(timerId);
          suspect();
          onClosed.run();
        });
  }

  void callStarted() {
    inFlight++;
  }

  void callEnded() {
    inFlight--;
  }

  /** Records that something arrived on the connection. */
  void onHeard() {
    heard = true;
  }

  /**
   * Records a stream that was granted but never used. The client of Vert.x 4.5 counts it as open
   * until the connection closes, so a connection with many of them is replaced.
   */
  void streamUnused() {
    unusedStreams++;
    if (unusedStreams == MAX_UNUSED_STREAMS && !suspected) {
      suspect();
      connection.shutdown(SHUTDOWN_MS);
    }
  }

  private void suspect() {
    if (!suspected) {
      suspected = true;
      onUnusable.run();
    }
  }

  private void tick() {
    if (heard || inFlight == 0) {
      heard = false;
      silentTicks = 0;
      return;
    }
    silentTicks++;
    if (silentTicks == 1) {
      connection.ping(PING).onSuccess(answer -> heard = true);
    } else if (silentTicks == SUSPECT_TICKS && !suspected) {
      suspect();
      // New calls get a new connection, while those in flight may still be answered.
      connection.shutdown(SHUTDOWN_MS);
    } else if (silentTicks == DEAD_TICKS) {
      counters.silentConnections.increment();
      LOG.info("Connection to {} went silent and is replaced", connection.remoteAddress());
      connection.close();
    }
  }
}
