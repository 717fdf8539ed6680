import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Case 7: clients that send further idempotent requests before the first answer, over a link of 1,000
 * Mbit/s, while their node is stopped with SIGTERM.
 */
public final class PipelineTerm {
  private static final int CONNECTIONS = 8;
  private static final int DEPTH = 3;
  private static final int BODY_BYTES = 9_000;
  private static final int WINDOW_BYTES = 8 << 10;
  private static final int LINK_BYTES_PER_MS = 125_000;
  private static final int TIMEOUT_MS = 2_500;
  private static final int LOSS_SLACK_MS = 200;
  private static final String CONFIG =
      "{\"version\":3,\"routes\":{\"columns\":[\"name\",\"host\",\"path_prefix\",\"kind\","
          + "\"timeout_ms\",\"target_latency_ms\",\"priority\",\"service\",\"max_attempts\","
          + "\"weighted_services\"],\"rows\":[[\"r-view\",\"menu.example\",\"/view/\","
          + "\"idempotent\",2500,600,1,\"proofing\",2,null]]},"
          + "\"services\":{\"columns\":[\"name\",\"health_check_path\",\"max_connections\"],"
          + "\"rows\":[[\"proofing\",\"/health\",130],[\"catalogue\",\"/health\",130]]},"
          + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,"
          + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

  private static final Set<String> RAN = ConcurrentHashMap.newKeySet();
  private static final Map<String, Long> LOST = new ConcurrentHashMap<>();
  private static volatile int answered;
  private static volatile boolean over;
  private static volatile long termNanos = Long.MAX_VALUE;

  public static void main(String[] args) throws Exception {
    Rig.main(Path.of(args[0]), PipelineTerm::held);
  }

  private static boolean held(Path folder, boolean trouble) throws Exception {
    Store store = new Store("127.0.0.1");
    store.put("op", "config", CONFIG);
    NodeProcess caller = Rig.node("sidecar-north-1", "kolkata-north", "catalogue", store, folder);
    NodeProcess north = Rig.node("sidecar-north-2", "kolkata-north", "proofing", store, folder);
    NodeProcess south = Rig.node("sidecar-south-1", "kolkata-south", "proofing", store, folder);
    final Upstream callerApp = new Upstream("i-c1", "catalogue", "v1", caller);
    final Upstream one = new Upstream("i-a1", "proofing", "v1", north);
    final Upstream two = new Upstream("i-a2", "proofing", "v1", south);
    for (Upstream each : new Upstream[] {one, two}) {
      each.bodyBytes = BODY_BYTES;
      each.workMs = 8;
    }
    for (NodeProcess each : new NodeProcess[] {caller, north, south}) {
      each.start();
    }
    callerApp.start();
    one.start();
    two.start();
    Rig.await("ready nodes", 20_000, () -> caller.ready() && north.ready() && south.ready());
    Rig.sleep(3_000);
    Rig.runs = (attempt, upstream, status) -> RAN.add(attempt);
    CountDownLatch ended = new CountDownLatch(CONNECTIONS);
    for (int i = 0; i < CONNECTIONS; i++) {
      Rig.thread(
          () -> {
            new Connection(caller).run();
            ended.countDown();
          });
    }
    Rig.sleep(6_000);
    termNanos = System.nanoTime();
    if (trouble) {
      caller.signal("TERM");
    } else {
      Rig.sleep(2_000);
      over = true;
    }
    ended.await(10, TimeUnit.SECONDS);
    over = true;
    Rig.note(answered + " requests were answered completely");
    LOST.forEach(
        (attempt, nanos) ->
            Rig.note(
                "lost: " + attempt + " was read and run, and its connection ended "
                    + (nanos - termNanos) / 1_000_000 + " ms after the SIGTERM"));
    return LOST.isEmpty();
  }

  /** Request that waits for its answer. */
  private record Sent(String attempt, long nanos) {}

  /** Connection of a client that has a few requests on their way, and its link. */
  private static final class Connection {
    private final NodeProcess node;
    private final Deque<Sent> waiting = new ArrayDeque<>();
    private boolean sendingEnded;

    Connection(NodeProcess node) {
      this.node = node;
    }

    void run() {
      boolean announced = false;
      try (Socket socket = new Socket()) {
        socket.setReceiveBufferSize(WINDOW_BYTES);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(TIMEOUT_MS);
        socket.connect(new InetSocketAddress(node.ip, node.outboundPort), 1_000);
        InputStream in = new BufferedInputStream(new LinkInput(socket.getInputStream()), 2_048);
        for (int i = 0; i < DEPTH; i++) {
          send(socket);
        }
        while (!waiting.isEmpty()) {
          Rig.Message answer = Rig.read(in);
          if (answer == null) {
            throw new IOException("connection closed");
          }
          Sent first = waiting.remove();
          Rig.record("answer", first.attempt + " " + answer.status() + " complete");
          countAnswered();
          if (answer.header("connection").equals("close")) {
            // Requests behind it count as not read.
            announced = true;
            break;
          }
          if (!over) {
            send(socket);
          }
        }
      } catch (IOException e) {
        Rig.record("end", "connection ends: " + e.getMessage());
      }
      if (!announced) {
        long nowNanos = System.nanoTime();
        waiting.forEach(each -> recordEnd(each, nowNanos));
      }
    }

    // A client that can send no more still reads the answers that are on their way.
    private void send(Socket socket) {
      if (sendingEnded) {
        return;
      }
      String attempt = Client.newAttempt();
      try {
        socket
            .getOutputStream()
            .write(Client.request(attempt, "menu.example", "/view/1", TIMEOUT_MS));
        socket.getOutputStream().flush();
        waiting.add(new Sent(attempt, System.nanoTime()));
        Rig.record("sent", attempt + " /view/1");
      } catch (IOException e) {
        sendingEnded = true;
        Rig.record("end", "nothing more can be sent: " + e.getMessage());
      }
    }

    // Only what an upstream ran counts here; requests that reached no upstream are left out.
    private static void recordEnd(Sent sent, long nowNanos) {
      boolean inTime = (nowNanos - sent.nanos) / 1_000_000 < TIMEOUT_MS - LOSS_SLACK_MS;
      boolean ran = RAN.contains(sent.attempt);
      Rig.record("answer", sent.attempt + " none, ran " + ran);
      if (ran && inTime && nowNanos > termNanos) {
        LOST.put(sent.attempt, nowNanos);
      }
    }

    private static synchronized void countAnswered() {
      answered++;
    }
  }

  /** Input of a link with a bandwidth. */
  private static final class LinkInput extends InputStream {
    private final InputStream in;
    private double freeAtMs;

    LinkInput(InputStream in) {
      this.in = in;
    }

    @Override
    public int read() throws IOException {
      byte[] one = new byte[1];
      return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
    }

    @Override
    public int read(byte[] bytes, int from, int length) throws IOException {
      int count = in.read(bytes, from, Math.min(length, 2_048));
      double nowMs = System.nanoTime() / 1e6;
      freeAtMs = Math.max(freeAtMs, nowMs) + (double) Math.max(0, count) / LINK_BYTES_PER_MS;
      Rig.sleep((long) (freeAtMs - nowMs));
      return count;
    }
  }
}
