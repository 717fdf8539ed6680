import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 8: one client uploads invoice files, one after the other, while others look up labels over kept
 * connections. With TROUBLE more of the latter come at once for a few seconds.
 */
public final class UploadBurst {
  private static final int UPLOAD_BYTES = 7_200_000;
  private static final int USUAL_CLIENTS = 4;
  private static final int BURST_CLIENTS = 7;
  private static final int PERIOD_MS = 150;
  private static final int BURST_MS = 5_000;
  private static final int OTHER_CLIENTS = 8;
  private static final int MAX_UNANSWERED = 3;
  private static final String CONFIG =
      "{\"version\":3,\"routes\":{\"columns\":[\"name\",\"host\",\"path_prefix\",\"kind\","
          + "\"timeout_ms\",\"target_latency_ms\",\"priority\",\"service\",\"max_attempts\","
          + "\"weighted_services\"],\"rows\":[[\"r-scan\",\"scans.example\",\"/scan/\","
          + "\"idempotent\",1000,400,2,\"intake\",2,null],[\"r-label\",\"scans.example\","
          + "\"/label/\",\"idempotent\",2000,800,1,\"intake\",2,null],[\"r-specimen\","
          + "\"scans.example\",\"/specimen/\",\"idempotent\",2700,800,1,\"catalog\",2,"
          + "null]]},"
          + "\"services\":{\"columns\":[\"name\",\"health_check_path\",\"max_connections\"],"
          + "\"rows\":[[\"intake\",\"/health\",480],[\"catalog\",\"/health\",480]]},"
          + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
          + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

  private static final AtomicBoolean OVER = new AtomicBoolean();
  private static final AtomicInteger UNANSWERED = new AtomicInteger();
  private static final Map<String, Integer> ENDS = new ConcurrentHashMap<>();
  private static final Map<String, Boolean> RAN = new ConcurrentHashMap<>();

  public static void main(String[] args) throws Exception {
    Rig.main(Path.of(args[0]), UploadBurst::held);
  }

  private static boolean held(Path folder, boolean trouble) throws Exception {
    Store store = new Store("127.0.0.1");
    store.put("op", "config", CONFIG);
    NodeProcess catalog = Rig.node("sidecar-north-1", "kolkata-north", "catalog", store, folder);
    NodeProcess intake = Rig.node("sidecar-north-2", "kolkata-north", "intake", store, folder);
    final Upstream catalogApp = new Upstream("i-c1", "catalog", "v1", catalog);
    final Upstream app = new Upstream("i-a1", "intake", "v1", intake);
    app.workMs = 40;
    catalogApp.workMs = 300;
    catalog.start();
    intake.start();
    catalogApp.start();
    app.start();
    Rig.await("ready nodes", 20_000, () -> catalog.ready() && intake.ready());
    Rig.sleep(3_000);
    Rig.runs = (attempt, upstream, status) -> RAN.put(attempt, true);
    final long startNanos = System.nanoTime();
    for (int i = 0; i < USUAL_CLIENTS; i++) {
      Rig.thread(() -> lookUp(intake, startNanos, Long.MAX_VALUE));
    }
    for (int i = 0; i < OTHER_CLIENTS; i++) {
      Rig.thread(() -> browse(intake));
    }
    Rig.thread(() -> upload(catalog));
    Rig.sleep(8_000);
    long burstEndNanos = System.nanoTime() + BURST_MS * 1_000_000L;
    if (trouble) {
      Rig.note("the clients that look up labels become " + BURST_CLIENTS);
      for (int i = USUAL_CLIENTS; i < BURST_CLIENTS; i++) {
        Rig.thread(() -> lookUp(intake, startNanos, burstEndNanos));
      }
    }
    Rig.sleep(BURST_MS + 3_000);
    OVER.set(true);
    Rig.sleep(500);
    Rig.note("how requests ended: " + ENDS);
    boolean runs = intake.runs() && catalog.runs();
    if (!runs) {
      Rig.note("a node ended by itself, exit code " + (intake.runs() ? catalog : intake).exitCode());
    }
    Rig.note(
        UNANSWERED.get() + " requests on kept connections were passed on to a sound upstream, and"
            + " their connections were closed without an answer");
    return UNANSWERED.get() <= MAX_UNANSWERED;
  }

  // These clients ask at the same moments, like users who come at once.
  private static void lookUp(NodeProcess node, long startNanos, long endNanos) {
    Client client = new Client(node);
    while (!OVER.get() && System.nanoTime() < endNanos) {
      long sinceMs = (System.nanoTime() - startNanos) / 1_000_000;
      Rig.sleep(PERIOD_MS - sinceMs % PERIOD_MS);
      int status = client.send(Client.newAttempt(), "scans.example", "/label/1", 2_000);
      ENDS.merge("look-up " + status, 1, Integer::sum);
    }
    client.close();
  }

  // Requests on kept connections to the upstream of the other machine, which nothing troubles.
  private static void browse(NodeProcess node) {
    Client client = new Client(node);
    boolean kept = false;
    while (!OVER.get()) {
      String attempt = Client.newAttempt();
      int status = client.send(attempt, "scans.example", "/specimen/1", 2_700);
      ENDS.merge("specimen " + status, 1, Integer::sum);
      if (status == 0 && kept && RAN.containsKey(attempt)) {
        UNANSWERED.incrementAndGet();
        Rig.note("no answer: " + attempt + ", passed on to the sound upstream i-c1");
      }
      kept = status != 0;
      Rig.sleep(kept ? 10 : 200);
    }
    client.close();
  }

  private static void upload(NodeProcess node) {
    byte[] scan = new byte[UPLOAD_BYTES];
    while (!OVER.get()) {
      String attempt = Client.newAttempt();
      String end;
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress(node.ip, node.outboundPort), 1_000);
        socket.setSoTimeout(2_000);
        Rig.record("sent", attempt + " /scan/1 with " + scan.length + " bytes");
        OutputStream out = socket.getOutputStream();
        String head =
            "POST /scan/1 HTTP/1.1\r\nHost: scans.example\r\nX-Attempt-Id: " + attempt
                + "\r\nX-Timeout-Ms: 1000\r\nContent-Length: " + scan.length + "\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        out.write(scan);
        out.flush();
        Rig.Message answer = Rig.read(new BufferedInputStream(socket.getInputStream()));
        end = answer == null ? "closed" : Integer.toString(answer.status());
      } catch (IOException e) {
        end = "failed";
      }
      Rig.record("answer", attempt + " " + end);
      ENDS.merge("upload " + end, 1, Integer::sum);
      Rig.sleep(40);
    }
  }
}
