import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-in of an application upstream beside one node: runs requests and checks in. */
final class Upstream {
  /** What the upstream answers to a request that it runs. */
  interface Work {
    /** Returns the status; the body has the length of the setting {@code bodyBytes}. */
    int run(String attempt, String path);
  }

  final String id;
  final String service;
  final String version;
  final int port;
  volatile int bodyBytes = 400;
  volatile int workMs = 5;
  volatile Work work = (attempt, path) -> 200;
  private final NodeProcess node;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final AtomicLong sequence = new AtomicLong();
  private volatile ServerSocket listener;
  private volatile String state = "ready";
  private volatile boolean up;
  private volatile long bornMs;

  Upstream(String id, String service, String version, NodeProcess node) throws IOException {
    this.id = id;
    this.service = service;
    this.version = version;
    this.node = node;
    this.port = node.appPort;
  }

  /** Starts a lifetime: listens, and checks in every 1.5 s. */
  void start() throws IOException {
    bornMs = System.currentTimeMillis();
    sequence.set(0);
    state = "ready";
    up = true;
    ServerSocket opened = new ServerSocket();
    opened.setReuseAddress(true);
    opened.bind(new java.net.InetSocketAddress(node.ip, port), 128);
    listener = opened;
    Rig.thread(() -> acceptAll(opened));
    long lifetime = bornMs;
    Rig.thread(
        () -> {
          while (up && bornMs == lifetime) {
            boolean taken = checkIn();
            Rig.sleep(taken ? 1_500 : 200);
          }
        });
    Rig.note("upstream " + id + " " + service + " " + version + " starts, born " + bornMs);
  }

  /** Ends the lifetime without a word, as a crash does. */
  void crash() throws IOException {
    up = false;
    Rig.note("upstream " + id + " crashes");
    closeAll();
  }

  private void closeAll() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
    sockets.clear();
  }

  /** Reports draining, serves on for a while after the confirmation, deregisters and ends. */
  void drainAndLeave(long serveMs) throws IOException {
    state = "draining";
    long startNanos = System.nanoTime();
    boolean confirmed = false;
    while (!confirmed && System.nanoTime() - startNanos < 4_000_000_000L) {
      confirmed = checkIn();
    }
    Rig.note("upstream " + id + " drains, confirmed " + confirmed);
    Rig.sleep(serveMs);
    post("instances.deregister", "");
    up = false;
    closeAll();
    Rig.note("upstream " + id + " has left");
  }

  boolean checkIn() {
    return post(
        "instances.heartbeat",
        "{\"service\":\"" + service + "\",\"address\":\"" + node.ip + ":" + port
            + "\",\"zone\":\"" + node.zone + "\",\"version\":\"" + version
            + "\",\"slots\":12,\"state\":\"" + state
            + "\",\"cold_remaining_ms\":0,\"sequence\":" + sequence.incrementAndGet()
            + ",\"born\":" + bornMs + "}");
  }

  private boolean post(String call, String body) {
    try {
      URL url =
          new URL(
              "http://" + node.ip + ":" + node.controlPort + "/v1/rpc?call=" + call + "&of=" + id);
      HttpURLConnection connection = (HttpURLConnection) url.openConnection();
      connection.setConnectTimeout(1_000);
      connection.setReadTimeout(1_000);
      connection.setRequestMethod("POST");
      connection.setDoOutput(true);
      connection.setRequestProperty("Content-Type", "application/json");
      connection.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
      int status = connection.getResponseCode();
      connection.disconnect();
      return status / 100 == 2;
    } catch (IOException e) {
      return false;
    }
  }

  private void acceptAll(ServerSocket from) {
    while (!from.isClosed()) {
      try {
        Socket socket = from.accept();
        sockets.add(socket);
        Rig.thread(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      while (true) {
        Rig.Message request = Rig.read(in);
        if (request == null) {
          return;
        }
        String path = request.start().split(" ")[1];
        if (path.equals("/health")) {
          Rig.write(out, "HTTP/1.1 200 OK", List.of("X-Instance-Id: " + id), new byte[0]);
          continue;
        }
        String attempt = request.header("x-attempt-id");
        if (!id.equals(request.header("x-target-instance"))) {
          Rig.write(
              out, "HTTP/1.1 421 Misdirected Request", List.of("X-Attempt-Id: " + attempt),
              new byte[0]);
          continue;
        }
        Rig.record("run", attempt + " at " + id + " " + version);
        int status = work.run(attempt, path);
        Rig.ran(attempt, this, status);
        Rig.sleep(workMs);
        byte[] body = new byte[bodyBytes];
        java.util.Arrays.fill(body, (byte) 'b');
        Rig.write(
            out,
            "HTTP/1.1 " + status + " Done",
            List.of("X-Attempt-Id: " + attempt, "X-Server-Signature: s-" + id + "-" + attempt),
            body);
      }
    } catch (IOException e) {
      // The connection has ended.
    } finally {
      sockets.remove(socket);
    }
  }
}
