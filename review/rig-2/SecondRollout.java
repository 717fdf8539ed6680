import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 6: a version is taken back, and the operator orders the next one. With TROUBLE the upstream
 * of the old version crashed once meanwhile and came back.
 */
public final class SecondRollout {
  private static final int DURATION_S = 16;
  private static final double CANARY_SHARE = 0.1;
  private static final int CANARY_SLACK = 50;
  private static final int THREADS = 20;
  private static final int PERIOD_MS = 200;
  private static final String CONFIG =
      "{\"version\":3,\"routes\":{\"columns\":[\"name\",\"host\",\"path_prefix\",\"kind\","
          + "\"timeout_ms\",\"target_latency_ms\",\"priority\",\"service\",\"max_attempts\","
          + "\"weighted_services\"],\"rows\":[[\"r-view\",\"menu.example\",\"/view/\","
          + "\"idempotent\",2500,600,1,\"proofing\",2,null]]},"
          + "\"services\":{\"columns\":[\"name\",\"health_check_path\",\"max_connections\"],"
          + "\"rows\":[[\"proofing\",\"/health\",130],[\"catalogue\",\"/health\",130]]},"
          + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,"
          + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

  private static final AtomicInteger ALL = new AtomicInteger();
  private static final AtomicInteger BAD_VERSION = new AtomicInteger();
  private static final AtomicInteger AFTER_TAKE_BACK = new AtomicInteger();
  private static final AtomicInteger FAILED_AFTER = new AtomicInteger();
  private static volatile long orderNanos = Long.MAX_VALUE;
  private static volatile long takenBackNanos = Long.MAX_VALUE;

  public static void main(String[] args) throws Exception {
    Rig.main(Path.of(args[0]), SecondRollout::held);
  }

  private static boolean held(Path folder, boolean trouble) throws Exception {
    Store store = new Store("127.0.0.1");
    store.put("op", "config", CONFIG);
    NodeProcess caller = Rig.node("sidecar-north-1", "kolkata-north", "catalogue", store, folder);
    NodeProcess oldNode = Rig.node("sidecar-north-2", "kolkata-north", "proofing", store, folder);
    NodeProcess badNode = Rig.node("sidecar-south-1", "kolkata-south", "proofing", store, folder);
    NodeProcess nextNode = Rig.node("sidecar-south-2", "kolkata-south", "proofing", store, folder);
    final Upstream callerApp = new Upstream("i-c1", "catalogue", "v1", caller);
    final Upstream old = new Upstream("i-a1", "proofing", "v1", oldNode);
    final Upstream bad = new Upstream("i-b2", "proofing", "v2", badNode);
    final Upstream next = new Upstream("i-c3", "proofing", "v3", nextNode);
    caller.start();
    oldNode.start();
    callerApp.start();
    old.start();
    Rig.await("ready nodes", 20_000, () -> caller.ready() && oldNode.ready());
    Rig.sleep(3_000);
    Rig.runs = SecondRollout::count;
    AtomicBoolean over = new AtomicBoolean();
    for (int i = 0; i < THREADS; i++) {
      int offsetMs = i * PERIOD_MS / THREADS;
      Rig.thread(() -> sendAll(caller, offsetMs, over));
    }
    Rig.sleep(3_000);

    orderNanos = System.nanoTime();
    store.put("op", "rollout/proofing", order("v2"));
    Rig.note("the operator orders v2, which fails half of its requests from 3 s on");
    badNode.start();
    bad.work = (attempt, path) -> isLate() && attempt.hashCode() % 2 == 0 ? 500 : 200;
    bad.start();
    sleepUntil(1);
    if (trouble) {
      old.crash();
      sleepUntil(3);
      old.start();
    }
    Rig.await(
        "v2 taken back",
        DURATION_S * 1_000,
        () -> Rig.field(store.text("status", "rollout/proofing"), "state").equals("rolled_back"));
    takenBackNanos = System.nanoTime();
    Rig.note("status is rolled_back after " + seconds(takenBackNanos) + " s");
    Rig.sleep(500);
    store.put("op", "rollout/proofing", order("v3"));
    Rig.note("the operator orders v3, which is good");
    nextNode.start();
    next.start();
    Rig.sleep(2_800);
    Rig.thread(
        () -> {
          try {
            bad.drainAndLeave(2_500);
          } catch (java.io.IOException e) {
            Rig.note("leaving failed: " + e);
          }
        });
    sleepUntil(DURATION_S + 1);
    over.set(true);
    double limit = CANARY_SHARE * ALL.get() + CANARY_SLACK;
    Rig.note(
        "between the order of v2 and its deadline: " + ALL.get() + " requests reached proofing, "
            + BAD_VERSION.get() + " of them v2; the limit is " + limit);
    Rig.note(
        "since the status rolled_back: " + AFTER_TAKE_BACK.get() + " requests reached v2, "
            + FAILED_AFTER.get() + " of them failed there");
    return BAD_VERSION.get() <= limit;
  }

  private static String order(String version) {
    return "{\"service\":\"proofing\",\"to\":\"" + version + "\",\"duration_s\":" + DURATION_S
        + "}";
  }

  private static boolean isLate() {
    return System.nanoTime() - orderNanos > 3_000_000_000L;
  }

  private static double seconds(long nanos) {
    return Math.round((nanos - orderNanos) / 1e7) / 100.0;
  }

  private static void sleepUntil(int secondsAfterOrder) {
    Rig.sleep(Math.max(0, secondsAfterOrder * 1_000 - (System.nanoTime() - orderNanos) / 1_000_000));
  }

  private static void count(String attempt, Upstream upstream, int status) {
    long sinceOrder = System.nanoTime() - orderNanos;
    if (!upstream.service.equals("proofing") || sinceOrder < 0) {
      return;
    }
    boolean isBad = upstream.version.equals("v2");
    if (sinceOrder <= DURATION_S * 1_000_000_000L) {
      ALL.incrementAndGet();
      BAD_VERSION.addAndGet(isBad ? 1 : 0);
    }
    if (isBad && System.nanoTime() - takenBackNanos > 0) {
      AFTER_TAKE_BACK.incrementAndGet();
      FAILED_AFTER.addAndGet(status == 500 ? 1 : 0);
    }
  }

  private static void sendAll(NodeProcess node, int offsetMs, AtomicBoolean over) {
    Client client = new Client(node);
    Rig.sleep(offsetMs);
    long nextNanos = System.nanoTime();
    while (!over.get()) {
      client.send(Client.newAttempt(), "menu.example", "/view/" + offsetMs, 2_500);
      nextNanos += PERIOD_MS * 1_000_000L;
      Rig.sleep(Math.max(0, (nextNanos - System.nanoTime()) / 1_000_000));
    }
    client.close();
  }
}
