package org.acaciapond.sidecar.stutter;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * Target on plain sockets that sends additional, invalid and incomplete responses. It serves one
 * request at a time on a connection, and makes nested requests through its own node.
 */
final class StutteringTarget implements AutoCloseable {

  static final String NESTING_PREFIX = "/views/";

  private static final String HOST = "127.0.0.1";
  private static final int BACKLOG = 200;
  private static final int MAX_PROCESSING_MS = 10;
  private static final double FAILURE_SHARE = 0.15;
  private static final double NESTING_SHARE = 0.6;
  private static final double NON_IDEMPOTENT_NESTED_SHARE = 0.2;
  private static final int MIN_BODY_BYTES = 40;
  private static final int MAX_BODY_BYTES = 4_000;
  private static final int STOP_TIMEOUT_S = 5;
  private static final AtomicLong NEXT_SIGNATURE = new AtomicLong();

  private final TargetSettings settings;
  private final TargetRuns runs;
  private final ResponseCheck check;
  private final ServerSocket server;
  private final Semaphore slots;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2);
  private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
  private final AtomicInteger connections = new AtomicInteger();
  private final HttpClient checkInClient =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private volatile int outboundPort;
  private long sequence;

  StutteringTarget(TargetSettings settings, TargetRuns runs, ResponseCheck check)
      throws IOException {
    this.settings = settings;
    this.runs = runs;
    this.check = check;
    this.slots = new Semaphore(settings.slots());
    this.server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    threads.execute(this::acceptConnections);
  }

  int port() {
    return server.getLocalPort();
  }

  /** Sets the port of the target's own node for nested requests. */
  void setOutboundPort(int port) {
    outboundPort = port;
  }

  /** Sends one check-in to a node's control address. */
  void checkIn(int controlPort) {
    sequence++;
    String body =
        """
        {"service":"%s","address":"%s:%d","zone":"z","version":"v1","slots":%d,"state":"ready",
         "cold_remaining_ms":0,"sequence":%d,"born":1000}
        """
            .formatted(settings.service(), HOST, port(), settings.slots(), sequence);
    String uri =
        "http://%s:%d/v1/rpc?call=instances.heartbeat&of=%s"
            .formatted(HOST, controlPort, settings.id());
    checkInClient.sendAsync(
        HttpRequest.newBuilder(URI.create(uri))
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build(),
        HttpResponse.BodyHandlers.discarding());
  }

  private void acceptConnections() {
    try {
      while (true) {
        Socket socket = server.accept();
        sockets.add(socket);
        int number = connections.incrementAndGet();
        threads.execute(() -> serve(socket, number));
      }
    } catch (IOException e) {
      // The target was closed.
    }
  }

  private void serve(Socket socket, int number) {
    Random random = new Random(settings.seed() * 1_000 + number);
    try (socket) {
      TargetConnection connection =
          new TargetConnection(socket, "connection " + number + " of " + settings.id());
      MessageHead head = MessageHead.read(connection.in());
      while (head != null) {
        head.readBody(connection.in());
        handle(connection, head, random);
        head = MessageHead.read(connection.in());
      }
    } catch (IOException e) {
      // The connection was closed by the target or by the node.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void handle(TargetConnection connection, MessageHead request, Random random)
      throws IOException, InterruptedException {
    String id = String.valueOf(request.header("X-Attempt-Id"));
    runs.recordArrived(connection.name, id);
    if (!settings.id().equals(request.header("X-Target-Instance"))) {
      refuse(connection, "421 Misdirected Request", id);
    } else if (!slots.tryAcquire()) {
      refuse(connection, "503 Service Unavailable", id);
    } else {
      run(connection, request, id, random);
    }
  }

  private static void refuse(TargetConnection connection, String status, String id)
      throws IOException {
    String head =
        "HTTP/1.1 "
            + status
            + "\r\nX-Not-Executed: 1\r\nX-Attempt-Id: "
            + id
            + "\r\nContent-Length: 0\r\n\r\n";
    connection.write(head.getBytes(StandardCharsets.ISO_8859_1));
  }

  private void run(TargetConnection connection, MessageHead request, String id, Random random)
      throws IOException, InterruptedException {
    long startNanos = System.nanoTime();
    runs.recordStarted(id);
    int status;
    try {
      Thread.sleep(1 + random.nextInt(MAX_PROCESSING_MS));
      status = status(request, id, startNanos, random);
    } finally {
      slots.release();
    }
    ResponseFault fault =
        random.nextDouble() < settings.faultRate()
            ? settings.faults().get(random.nextInt(settings.faults().size()))
            : null;
    TargetRun run = newRun(id, status, fault, startNanos, connection.name, random);
    new ResponseSender(connection, run, random, timers).send();
  }

  private int status(MessageHead request, String id, long startNanos, Random random)
      throws InterruptedException {
    String timeout = request.header("X-Timeout-Ms");
    int timeoutMs = timeout == null ? 0 : Integer.parseInt(timeout);
    boolean nestedFailed = false;
    if (request.startLine().contains(NESTING_PREFIX) && random.nextDouble() < NESTING_SHARE) {
      nestedFailed = !sendNested(id, timeoutMs, random);
    }
    if (System.nanoTime() - startNanos > timeoutMs * 1_000_000L) {
      return 504;
    }
    return nestedFailed || random.nextDouble() < FAILURE_SHARE ? 500 : 200;
  }

  private boolean sendNested(String parentId, int timeoutMs, Random random) {
    boolean succeeded = true;
    try (NodeClient client = new NodeClient(outboundPort, check)) {
      int count = 1 + random.nextInt(2);
      for (int i = 0; i < count && succeeded; i++) {
        boolean idempotent = random.nextDouble() >= NON_IDEMPOTENT_NESTED_SHARE;
        long suffix =
            settings.repeatedIds() && idempotent
                ? new Random(parentId.hashCode() + i).nextLong()
                : random.nextLong();
        RawRequest nested =
            new RawRequest(
                parentId + "." + String.format("%016x", suffix),
                idempotent,
                (idempotent ? "/fonts/" : "/charges/") + i,
                timeoutMs);
        succeeded = client.send(List.of(nested)).get(0) == 200;
      }
    } catch (IOException e) {
      succeeded = false;
    }
    return succeeded;
  }

  private TargetRun newRun(
      String id,
      int status,
      @Nullable ResponseFault fault,
      long startNanos,
      String place,
      Random random) {
    int beyondMin = random.nextInt(MAX_BODY_BYTES - MIN_BODY_BYTES + 1);
    byte[] body = new byte[status == 200 ? MIN_BODY_BYTES + beyondMin : 0];
    random.nextBytes(body);
    String signature =
        Long.toHexString(NEXT_SIGNATURE.incrementAndGet())
            + "."
            + settings.id()
            + "."
            + body.length;
    boolean complete =
        fault == null
            || fault == ResponseFault.UNFRAMED
            || fault == ResponseFault.TRAILING_BYTES
            || fault.name().startsWith("EXTRA_");
    TargetRun run =
        new TargetRun(
            id, settings.id(), signature, body, status, fault, complete, startNanos, place);
    runs.recordAnswered(run);
    return run;
  }

  @Override
  public void close() throws IOException, InterruptedException {
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
    threads.shutdownNow();
    timers.shutdownNow();
    threads.awaitTermination(STOP_TIMEOUT_S, TimeUnit.SECONDS);
  }
}
