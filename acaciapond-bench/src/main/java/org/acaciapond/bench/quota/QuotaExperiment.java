package org.acaciapond.bench.quota;

import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.acaciapond.mesh.limit.LimitBounds;
import org.acaciapond.mesh.limit.LimitMessage;
import org.acaciapond.mesh.limit.SharedLimiter;
import org.acaciapond.mesh.limit.TokenPolicy;
import org.acaciapond.mesh.peer.PeerCodec;
import org.acaciapond.mesh.peer.PeerMessage;

/** Nodes with the limiter of the product in virtual time. */
final class QuotaExperiment {

  private static final long MS = 1_000_000L;
  private static final long S = 1_000 * MS;
  private static final LimitBounds BOUNDS = new LimitBounds(5_000, 0.1, 20);
  private static final long WINDOW_NANOS = 5 * S;
  private static final long TICK_NANOS = 50 * MS;
  private static final long WARM_UP_NANOS = 15 * S;
  private static final long END_NANOS = 60 * S;
  private static final long HOT_FROM_NANOS = 30 * S;
  private static final long HOT_UNTIL_NANOS = 36_500 * MS;
  private static final long CUT_INTERVAL_NANOS = 11 * S;
  private static final long CUT_NANOS = 5_500 * MS;
  // Time until a node treats a silent connection as lost, or has opened it again.
  private static final long CONTACT_NANOS = 1_500 * MS;
  private static final long MIN_DELAY_NANOS = MS;
  private static final long DELAY_SPREAD_NANOS = 6 * MS;
  private static final int CUT_DIVISOR = 3;
  private static final int FRAME_HEADER_BYTES = 4;

  private final List<Node> nodes = new ArrayList<>();
  private final Map<String, Node> byName = new HashMap<>();
  private final QuotaLoad load;
  private final Method method;
  private final boolean cuts;
  private final Random random;
  private final List<AccountCounts> counts = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::order));
  private long order;
  private long nowNanos;
  private boolean cut;
  private final Map<String, Long> messagesByKind = new TreeMap<>();
  private final Map<String, Long> bytesByKind = new TreeMap<>();
  private long messages;
  private long bytes;
  private long waitedNanos;
  private long waited;

  /** How the nodes keep a limit. */
  enum Method {
    /** Each node has an equal part and asks nobody. */
    EQUAL_PARTS,
    /** Tokens move between the nodes. */
    SHARED
  }

  private record Event(long atNanos, long order, Runnable action) {}

  /** Node with its limiter. */
  private final class Node {
    final String name;
    final boolean inCutDomain;
    final PeerCodec codec = new PeerCodec();
    final SharedLimiter limiter;

    Node(int index, Map<String, TokenPolicy> policies) {
      this.name = "node-" + index;
      this.inCutDomain = index % CUT_DIVISOR == 0;
      this.limiter = new SharedLimiter(name, this::send, random.nextInt());
      limiter.setPolicies(policies, 0);
    }

    private void send(String to, LimitMessage message) {
      int length = FRAME_HEADER_BYTES + codec.encode(new PeerMessage.Limit(message)).length;
      messages++;
      bytes += length;
      bytesByKind.merge(message.getClass().getSimpleName(), (long) length, Long::sum);
      messagesByKind.merge(message.getClass().getSimpleName(), 1L, Long::sum);
      Node receiver = Objects.requireNonNull(byName.get(to));
      if (!cut || receiver.inCutDomain == inCutDomain) {
        long delayNanos = MIN_DELAY_NANOS + (long) (random.nextDouble() * DELAY_SPREAD_NANOS);
        schedule(delayNanos, () -> receiver.limiter.receive(name, message, nowNanos));
      }
    }

    void tick() {
      if (limiter.isActive()) {
        limiter.tick(nowNanos);
      }
      schedule(TICK_NANOS, this::tick);
    }

    void request(int account) {
      AccountCounts accountCounts = counts.get(account);
      accountCounts.recordRequest(nowNanos);
      long startNanos = nowNanos;
      limiter.acquire(
          name(account),
          600,
          new SharedLimiter.Waiter() {
            @Override
            public void granted(long producedNanos) {
              accountCounts.recordPassed(nowNanos);
              waited++;
              waitedNanos += nowNanos - startNanos;
            }

            @Override
            public void refused(int retryAfterMs) {
              // Not passed.
            }
          },
          nowNanos);
    }
  }

  QuotaExperiment(int nodeCount, QuotaLoad load, Method method, boolean cuts, long seed) {
    this.load = load;
    this.method = method;
    this.cuts = cuts;
    this.random = new Random(seed);
    Map<String, TokenPolicy> policies = new HashMap<>();
    for (int i = 0; i < load.accounts(); i++) {
      policies.put(name(i), TokenPolicy.of(load.limitPerS(i), load.burst(i), BOUNDS));
      counts.add(new AccountCounts(load.limitPerS(i), load.burst(i), WINDOW_NANOS));
    }
    for (int i = 0; i < nodeCount; i++) {
      Node node = new Node(i, policies);
      nodes.add(node);
      byName.put(node.name, node);
      schedule(random.nextInt((int) TICK_NANOS), node::tick);
    }
  }

  private static String name(int account) {
    return "account-" + account;
  }

  private void schedule(long afterNanos, Runnable action) {
    events.add(new Event(nowNanos + afterNanos, order++, action));
  }

  JsonObject run() {
    connect();
    for (int i = 0; i < load.accounts(); i++) {
      int account = i;
      schedule(WARM_UP_NANOS, () -> sendNext(account));
    }
    schedule(WARM_UP_NANOS, this::endPeriod);
    if (cuts) {
      schedule(WARM_UP_NANOS + CUT_INTERVAL_NANOS / 2, this::beginCut);
    }
    while (events.peek().atNanos() <= END_NANOS) {
      Event event = events.remove();
      nowNanos = event.atNanos();
      event.action().run();
    }
    return results();
  }

  private void sendNext(int account) {
    boolean hot = nowNanos >= HOT_FROM_NANOS && nowNanos < HOT_UNTIL_NANOS;
    double intervalS = -Math.log(1 - random.nextDouble()) / load.requestsPerS(account, hot);
    schedule(
        (long) (intervalS * 1e9),
        () -> {
          nodes.get(random.nextInt(nodes.size())).request(account);
          sendNext(account);
        });
  }

  private void endPeriod() {
    counts.forEach(AccountCounts::endPeriod);
    schedule(WINDOW_NANOS, this::endPeriod);
  }

  private void beginCut() {
    cut = true;
    schedule(CONTACT_NANOS, this::connect);
    schedule(CUT_NANOS, this::endCut);
    schedule(CUT_INTERVAL_NANOS, this::beginCut);
  }

  private void endCut() {
    cut = false;
    schedule(CONTACT_NANOS, this::connect);
  }

  private void connect() {
    Set<String> inside = new HashSet<>();
    Set<String> outside = new HashSet<>();
    for (Node node : nodes) {
      (cut && node.inCutDomain ? inside : outside).add(node.name);
    }
    for (Node node : nodes) {
      Set<String> others = new HashSet<>();
      if (method == Method.SHARED) {
        others.addAll(cut && node.inCutDomain ? inside : outside);
        others.remove(node.name);
      }
      node.limiter.setMembers(others, nodes.size());
    }
  }

  private JsonObject results() {
    long allowed = 0;
    long refused = 0;
    double excess = Double.NEGATIVE_INFINITY;
    double share = 0;
    for (int i = 0; i < load.accounts(); i++) {
      AccountCounts each = counts.get(i);
      each.endPeriod();
      allowed += each.allowed;
      refused += each.refusedAllowed;
      double bound = BOUNDS.maxInWindow(load.limitPerS(i), load.burst(i));
      excess = Math.max(excess, each.largestWindow - bound);
      share = Math.max(share, each.largestWindow / bound);
    }
    double nodeSeconds = (END_NANOS - WARM_UP_NANOS) / 1e9 * nodes.size();
    JsonObject kinds = new JsonObject();
    messagesByKind.forEach(
        (kind, count) ->
            kinds.put(
                kind.toLowerCase(Locale.ROOT),
                new JsonObject()
                    .put("messages_per_node_s", round(count / nodeSeconds))
                    .put(
                        "bytes_per_node_s",
                        round(bytesByKind.getOrDefault(kind, 0L) / nodeSeconds))));
    return new JsonObject()
        .put("by_kind", kinds)
        .put("allowed", allowed)
        .put("refused_allowed_share", round((double) refused / allowed))
        .put("largest_excess", round(excess))
        .put("largest_window_of_bound", round(share))
        .put("messages_per_node_s", round(messages / nodeSeconds))
        .put("bytes_per_node_s", round(bytes / nodeSeconds))
        .put("mean_wait_ms", round((double) waitedNanos / MS / Math.max(1, waited)));
  }

  private static double round(double value) {
    return Math.round(value * 10_000) / 10_000.0;
  }
}
