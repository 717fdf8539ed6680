package org.acaciapond.bench.converge;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;

/**
 * Simulated hosts of the experiment, all in one process.
 *
 * <p>The hosts of a failure domain form two groups, each with its own event loop, so that a whole
 * domain or half of it can crash at once: closing the event loop ends all its sockets and timers,
 * and the nodes cannot announce that they leave.
 */
final class Fleet {

  private static final int GROUPS_PER_DOMAIN = 2;
  private static final int WORKER_THREADS = 2;
  private static final long POLL_INTERVAL_MS = 2;

  /** Number of seed addresses in the settings of a node, taken from all domains. */
  private static final int SEED_COUNT = 4;

  /** Hosts that share one event loop. */
  private static final class EventLoopGroup {
    private final List<Host> hosts = new ArrayList<>();
    private Vertx vertx = newVertx();
  }

  private final List<EventLoopGroup> groups = new ArrayList<>();
  private final List<Host> hosts = new ArrayList<>();
  private final SnapshotInvariantChecker invariantChecker = new SnapshotInvariantChecker();

  /** Creates the hosts without starting their nodes. */
  Fleet(ConvergeOptions options, int platformPort) {
    for (int i = 0; i < options.domains() * GROUPS_PER_DOMAIN; i++) {
      groups.add(new EventLoopGroup());
    }
    for (int i = 0; i < options.nodes(); i++) {
      // The hosts of groups g and g + domains belong to domain g.
      EventLoopGroup group = groups.get(i % groups.size());
      Host host = new Host(options, i, group.vertx, platformPort, invariantChecker);
      group.hosts.add(host);
      hosts.add(host);
    }
  }

  private static Vertx newVertx() {
    return Vertx.vertx(
        new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(WORKER_THREADS));
  }

  /** Starts the seed nodes, then all other nodes concurrently. */
  void start() {
    List<Host> seedHosts = hosts.subList(0, Math.min(SEED_COUNT, hosts.size()));
    startAll(seedHosts);
    List<Host> otherHosts = hosts.subList(seedHosts.size(), hosts.size());
    groups.forEach(
        group ->
            group.hosts.stream()
                .filter(otherHosts::contains)
                .forEach(host -> host.replaceNode(group.vertx, seedAddresses())));
    startAll(otherHosts);
  }

  private List<String> seedAddresses() {
    return hosts.stream().limit(SEED_COUNT).map(Host::peerAddress).toList();
  }

  private static void startAll(List<Host> hosts) {
    awaitAll(hosts.stream().map(Host::start).toList());
  }

  private static void awaitAll(List<CompletableFuture<Void>> futures) {
    CompletableFuture.allOf(futures.toArray(CompletableFuture[]::new)).join();
  }

  void stop() {
    awaitAll(hosts.stream().map(Host::stop).toList());
    groups.forEach(group -> group.vertx.close().toCompletionStage().toCompletableFuture().join());
  }

  /** Crashes all nodes of a domain at once and restarts them concurrently. */
  void restartDomain(int domain, int domains) {
    restart(List.of(groups.get(domain), groups.get(domain + domains)));
  }

  /** Crashes half of the nodes of a domain at once and restarts them; returns their hosts. */
  List<Host> restartHalfOfDomain(int domain) {
    restart(List.of(groups.get(domain)));
    return groups.get(domain).hosts;
  }

  /** Crashes all nodes at once and restarts them concurrently. */
  void restartAll() {
    restart(groups);
  }

  private void restart(List<EventLoopGroup> restartedGroups) {
    awaitAll(
        restartedGroups.stream()
            .map(group -> group.vertx.close().toCompletionStage().toCompletableFuture())
            .toList());
    List<String> seedAddresses = seedAddresses();
    List<Host> restartedHosts = new ArrayList<>();
    for (EventLoopGroup group : restartedGroups) {
      group.vertx = newVertx();
      group.hosts.forEach(host -> host.replaceNode(group.vertx, seedAddresses));
      restartedHosts.addAll(group.hosts);
    }
    startAll(restartedHosts);
  }

  /**
   * Waits until each node knows the current incarnations of the nodes on all hosts; returns the
   * number of nodes that do not when the wait ends.
   */
  long awaitJoined(long timeoutMs) throws InterruptedException {
    Map<String, Long> incarnations =
        hosts.stream().collect(Collectors.toMap(Host::hostId, Host::incarnation));
    return await(hosts, host -> host.knowsAll(incarnations), timeoutMs);
  }

  /**
   * Waits until an edit is active on all nodes; returns the number of nodes on which it is not when
   * the wait ends.
   */
  long awaitSequence(long sequence, long timeoutMs) throws InterruptedException {
    return await(hosts, host -> host.sequence() >= sequence, timeoutMs);
  }

  /**
   * Waits until all given hosts meet a condition; returns the number of hosts that do not when the
   * wait ends.
   */
  static long await(List<Host> hosts, Predicate<Host> condition, long timeoutMs)
      throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    List<Host> unmatched = new ArrayList<>(hosts);
    while (true) {
      unmatched.removeIf(condition);
      if (unmatched.isEmpty() || System.nanoTime() > deadlineNanos) {
        return unmatched.size();
      }
      Thread.sleep(POLL_INTERVAL_MS);
    }
  }

  /** Returns the sum of a counter over all hosts. */
  long sum(ToLongFunction<Host> counter) {
    return hosts.stream().mapToLong(counter).sum();
  }

  List<Host> hosts() {
    return hosts;
  }

  SnapshotInvariantChecker invariantChecker() {
    return invariantChecker;
  }
}
