package org.acaciapond.sidecar.telemetry;

import io.smallrye.mutiny.Uni;
import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.acaciapond.common.lifecycle.ManagedService;
import org.acaciapond.common.time.TimeSource;
import org.jspecify.annotations.Nullable;

/**
 * Structured log that writes one JSON object per line. A separate thread formats and writes the
 * lines from a bounded queue; a line is dropped and counted if the queue is full.
 */
public final class EventLog implements ManagedService {

  private static final int QUEUE_LINES = 4_096;
  private static final int STOP_WAIT_MS = 200;
  private static final int MAX_BATCH_LINES = 256;
  // Limits the lines about single requests, so that logging costs little processor time in
  // overload.
  private static final int MAX_REQUEST_LINES_PER_S = 150;

  private final BlockingQueue<Line> queue = new ArrayBlockingQueue<>(QUEUE_LINES);
  private final AtomicLong dropped = new AtomicLong();
  private final TimeSource time;
  private final PrintStream out;
  private final String node;
  private @Nullable Thread thread;
  private volatile boolean running;
  private long currentSecond;
  private int requestLines;

  /** Event with its fields as alternating names and values. */
  private record Line(long timeMs, String event, @Nullable Object[] fields) {}

  /** Creates a log. */
  public EventLog(String node, PrintStream out, TimeSource time) {
    this.node = node;
    this.out = out;
    this.time = time;
  }

  @Override
  public Uni<Void> start() {
    running = true;
    Thread created = new Thread(this::writeLines, "event-log");
    created.setDaemon(true);
    created.start();
    thread = created;
    return Uni.createFrom().voidItem();
  }

  @Override
  public Uni<Void> stop() {
    running = false;
    Thread writer = thread;
    if (writer != null) {
      writer.interrupt();
      try {
        writer.join(STOP_WAIT_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    return Uni.createFrom().voidItem();
  }

  /** Logs an event; fields are alternating names and values. */
  public void event(String event, @Nullable Object... fields) {
    if (!queue.offer(new Line(time.now().toEpochMilli(), event, fields))) {
      dropped.incrementAndGet();
    }
  }

  /** Logs an event of one request, unless this second's limit for such lines is reached. */
  public void request(String event, @Nullable Object... fields) {
    long now = time.nanoTime() / 1_000_000_000L;
    if (now != currentSecond) {
      currentSecond = now;
      requestLines = 0;
    }
    if (requestLines >= MAX_REQUEST_LINES_PER_S) {
      dropped.incrementAndGet();
      return;
    }
    requestLines++;
    event(event, fields);
  }

  /** Returns the number of dropped lines. */
  public long droppedLineCount() {
    return dropped.get();
  }

  private void writeLines() {
    StringBuilder text = new StringBuilder();
    long reported = 0;
    while (true) {
      try {
        Line line = running ? queue.poll(1, TimeUnit.SECONDS) : queue.poll();
        if (line == null && !running) {
          return;
        }
        for (int i = 0; line != null && i < MAX_BATCH_LINES; i++) {
          append(text, line);
          line = queue.poll();
        }
        if (line != null) {
          append(text, line);
        }
        long lost = dropped.get();
        if (lost != reported) {
          append(
              text,
              new Line(time.now().toEpochMilli(), "log_lines_dropped", new Object[] {"all", lost}));
          reported = lost;
        }
        if (text.length() > 0) {
          out.print(text);
          out.flush();
          text.setLength(0);
        }
      } catch (InterruptedException e) {
        // stop() was called; queued lines are still written.
        running = false;
      }
    }
  }

  private void append(StringBuilder text, Line line) {
    text.append("{\"t_ms\":").append(line.timeMs).append(",\"node\":");
    quote(text, node);
    text.append(",\"event\":");
    quote(text, line.event);
    for (int i = 0; i + 1 < line.fields.length; i += 2) {
      text.append(',');
      quote(text, String.valueOf(line.fields[i]));
      text.append(':');
      Object value = line.fields[i + 1];
      if (value instanceof Number || value instanceof Boolean) {
        text.append(value);
      } else {
        quote(text, String.valueOf(value));
      }
    }
    text.append("}\n");
  }

  private static void quote(StringBuilder text, String value) {
    text.append('"');
    for (int i = 0; i < value.length(); i++) {
      char c = value.charAt(i);
      if (c == '"' || c == '\\') {
        text.append('\\').append(c);
      } else if (c < ' ') {
        text.append(String.format("\\u%04x", (int) c));
      } else {
        text.append(c);
      }
    }
    text.append('"');
  }
}
