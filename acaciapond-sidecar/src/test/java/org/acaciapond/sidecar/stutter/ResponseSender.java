package org.acaciapond.sidecar.stutter;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** Sender of the response to one request, with the fault that was chosen for it. */
final class ResponseSender {

  /** Body of additional responses that are not copies. */
  static final String EXTRA_BODY = "ok";

  private static final int USUAL_EXTRA_DELAY_MS = 3;
  private static final int MAX_EXTRA_DELAY_MS = 300;
  private static final String INVALID_CHUNK_SIZE = "zz\r\n";
  private static final int RANDOM_BYTES = 8;
  private static final byte[] NOTHING = new byte[0];

  private final TargetConnection connection;
  private final TargetRun run;
  private final Random random;
  private final ScheduledExecutorService timers;
  private final boolean chunked;

  ResponseSender(
      TargetConnection connection, TargetRun run, Random random, ScheduledExecutorService timers) {
    this.connection = connection;
    this.run = run;
    this.random = random;
    this.timers = timers;
    this.chunked = run.status == 200 && random.nextInt(3) == 0;
  }

  void send() throws IOException, InterruptedException {
    ResponseFault fault = run.fault;
    if (fault == null) {
      sendResponse(NOTHING);
    } else if (fault == ResponseFault.TRAILING_BYTES) {
      sendWithTrailingBytes();
    } else if (fault.name().startsWith("EXTRA_")) {
      sendWithExtra(fault);
    } else {
      sendWrong(fault);
    }
  }

  private void sendWithExtra(ResponseFault fault) throws IOException, InterruptedException {
    byte[] extra = extra();
    byte[] cut = Arrays.copyOf(extra, 1 + random.nextInt(extra.length - 1));
    boolean cutWithResponse = fault == ResponseFault.EXTRA_CUT && random.nextBoolean();
    if (fault == ResponseFault.EXTRA_WITH_RESPONSE) {
      sendResponse(extra);
      return;
    }
    if (fault == ResponseFault.EXTRA_FIRST) {
      connection.write(recorded("before response", extra));
      sendResponse(NOTHING);
      return;
    }
    sendResponse(cutWithResponse ? cut : NOTHING);
    switch (fault) {
      case EXTRA_LATE -> sendLate(List.of(extra));
      case EXTRA_SPLIT -> sendLate(split(extra));
      case EXTRA_WITH_NEXT -> connection.writeBeforeNext(recorded("before next", extra));
      case EXTRA_CUT_WITH_NEXT -> connection.writeBeforeNext(recorded("before next", cut));
      case EXTRA_INTERLEAVED ->
          connection.writeBetweenNextLines(recorded("between lines of next", extra));
      case EXTRA_IN_BODY -> connection.writeInNextBody(recorded("in body of next", extra));
      default -> {
        if (!cutWithResponse) {
          sendLate(List.of(cut));
        }
      }
    }
  }

  private void sendWithTrailingBytes() throws IOException, InterruptedException {
    byte[] trailing = trailing();
    switch (random.nextInt(3)) {
      case 0 -> sendResponse(trailing);
      case 1 -> {
        sendResponse(NOTHING);
        sendLate(List.of(trailing));
      }
      default -> {
        sendResponse(NOTHING);
        connection.writeBeforeNext(recorded("before next", trailing));
      }
    }
  }

  private byte[] trailing() {
    return switch (random.nextInt(6)) {
      case 0 -> latin1(EXTRA_BODY);
      case 1 -> latin1(INVALID_CHUNK_SIZE);
      case 2 -> latin1("HTTP/1.1 200 OK\r\n");
      case 3 -> latin1("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      default -> invalid();
    };
  }

  private void sendWrong(ResponseFault fault) throws IOException, InterruptedException {
    switch (fault) {
      case INVALID_CLOSED -> {
        connection.write(recorded("invalid", invalid()));
        connection.end(false);
      }
      case INVALID_OPEN -> connection.write(recorded("invalid", invalid()));
      case INVALID_THEN_EXTRA -> {
        connection.write(recorded("invalid", invalid()));
        sendLate(List.of(extraWithShortBody()));
      }
      case LOST_THEN_EXTRA -> sendLate(List.of(extraWithShortBody()));
      case BODY_CUT -> {
        connection.write(recorded("response", head("Content-Length: " + (run.body.length + 1))));
        connection.write(Arrays.copyOf(run.body, random.nextInt(run.body.length + 1)));
        connection.end(random.nextBoolean());
      }
      case CHUNK_INVALID -> {
        connection.write(recorded("response", head("Transfer-Encoding: chunked")));
        connection.write(run.body.length == 0 ? NOTHING : chunk(run.body));
        connection.write(recorded("chunk size", latin1(INVALID_CHUNK_SIZE)));
        if (random.nextBoolean()) {
          connection.end(false);
        }
      }
      case UNFRAMED, UNFRAMED_RESET -> {
        connection.write(recorded("response", head("Connection: close")));
        connection.write(run.body);
        connection.end(fault == ResponseFault.UNFRAMED_RESET);
      }
      default -> connection.end(random.nextBoolean());
    }
  }

  private void sendResponse(byte[] after) throws IOException, InterruptedException {
    byte[] head =
        chunked ? head("Transfer-Encoding: chunked") : head("Content-Length: " + run.body.length);
    recorded("response", head);
    recorded("after response", after);
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    if (chunked) {
      int border = 1 + random.nextInt(run.body.length - 1);
      body.writeBytes(chunk(Arrays.copyOf(run.body, border)));
      body.writeBytes(chunk(Arrays.copyOfRange(run.body, border, run.body.length)));
      body.writeBytes(latin1("0\r\n\r\n"));
    } else {
      body.writeBytes(run.body);
    }
    body.writeBytes(after);
    connection.writeResponse(head, body.toByteArray(), random);
  }

  private void sendLate(List<byte[]> pieces) {
    int delayMs =
        random.nextInt(3) == 0 ? random.nextInt(MAX_EXTRA_DELAY_MS) : USUAL_EXTRA_DELAY_MS;
    long seed = random.nextLong();
    timers.schedule(() -> writeLate(pieces, new Random(seed)), delayMs, TimeUnit.MILLISECONDS);
  }

  private @Nullable Void writeLate(List<byte[]> pieces, Random pauses) throws InterruptedException {
    try {
      pieces.forEach(piece -> recorded("late", piece));
      connection.writePieces(pieces, pauses);
    } catch (IOException e) {
      // The node has closed the connection.
    }
    return null;
  }

  private List<byte[]> split(byte[] bytes) {
    int first = 1 + random.nextInt(bytes.length - 2);
    int second = first + 1 + random.nextInt(bytes.length - first - 1);
    return List.of(
        Arrays.copyOf(bytes, first),
        Arrays.copyOfRange(bytes, first, second),
        Arrays.copyOfRange(bytes, second, bytes.length));
  }

  private byte[] extra() {
    if (random.nextInt(3) == 0) {
      return join(head("Content-Length: " + run.body.length), run.body);
    }
    return extraWithShortBody();
  }

  private byte[] extraWithShortBody() {
    byte[] head = head("200 OK", "Content-Length: " + EXTRA_BODY.length());
    return join(head, latin1(EXTRA_BODY));
  }

  private byte[] invalid() {
    byte[] noise = new byte[RANDOM_BYTES];
    random.nextBytes(noise);
    return switch (random.nextInt(4)) {
      case 0 -> latin1("HTTP/1.1 OK 200\r\n\r\n");
      case 1 -> latin1("HTTP/1.1 200 OK\r\nno colon here\r\n\r\n");
      case 2 -> latin1("HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok");
      default -> join(noise, latin1("\r\n\r\n"));
    };
  }

  private byte[] head(String framing) {
    return head(
        switch (run.status) {
          case 200 -> "200 OK";
          case 504 -> "504 Gateway Timeout";
          default -> "500 Internal Server Error";
        },
        framing);
  }

  private byte[] head(String status, String framing) {
    return latin1(
        "HTTP/1.1 "
            + status
            + "\r\nX-Server-Signature: "
            + run.signature
            + "\r\nContent-Type: application/octet-stream\r\nX-Attempt-Id: "
            + run.id
            + "\r\nKeep-Alive: timeout=10\r\n"
            + framing
            + "\r\n\r\n");
  }

  private byte[] recorded(String what, byte[] bytes) {
    if (bytes.length > 0) {
      run.recordWritten(what, bytes);
    }
    return bytes;
  }

  private static byte[] chunk(byte[] bytes) {
    return join(latin1(Integer.toHexString(bytes.length) + "\r\n"), join(bytes, latin1("\r\n")));
  }

  private static byte[] join(byte[] first, byte[] second) {
    byte[] both = Arrays.copyOf(first, first.length + second.length);
    System.arraycopy(second, 0, both, first.length, second.length);
    return both;
  }

  private static byte[] latin1(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }
}
