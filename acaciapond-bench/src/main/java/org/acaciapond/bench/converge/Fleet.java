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
 * Hosts of the experiment in one process.
 *
 * <p>The hosts of a failure domain are in two groups, each with an event loop of its own, so that a
 * whole domain or half of one can crash at a moment: closing the loop ends all its sockets and
 * timers without announcement.
 */
final class Fleet {

  private static final int GROUPS_PER_DOMAIN = 2;
  private static final int WORKERS = 2;
  private static final long CHECK_INTERVAL_MS = 2;

  /** Seeds of a node, over all domains. */
  private static final int SEEDS = 4;

  /** Hosts on one event loop. */
  private static final class Group {
    private final List<Host> hosts = new ArrayList<>();
    private Vertx loop = newLoop();
  }

  private final List<Group> groups = new ArrayList<>();
  private final List<Host> hosts = new ArrayList<>();
  private final InvariantWatch watch = new InvariantWatch();

  /** Creates the hosts; their nodes are not started yet. */
  Fleet(ConvergeOptions options, int platformPort) {
    for (int i = 0; i < options.domains() * GROUPS_PER_DOMAIN; i++) {
      groups.add(new Group());
    }
    for (int i = 0; i < options.nodes(); i++) {
      // Hosts of group g and of group g + domains lie in the domain g.
      Group group = groups.get(i % groups.size());
      Host host = new Host(options, i, group.loop, platformPort, watch);
      group.hosts.add(host);
      hosts.add(host);
    }
  }

  private static Vertx newLoop() {
    return Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(WORKERS));
  }

  /** Starts the seeds, then all other nodes together. */
  void start() {
    List<Host> first = hosts.subList(0, Math.min(SEEDS, hosts.size()));
    startAll(first);
    List<Host> rest = hosts.subList(first.size(), hosts.size());
    groups.forEach(
        group ->
            group.hosts.stream()
                .filter(rest::contains)
                .forEach(host -> host.replaceNode(group.loop, seeds())));
    startAll(rest);
  }

  private List<String> seeds() {
    return hosts.stream().limit(SEEDS).map(Host::peerAddress).toList();
  }

  private static void startAll(List<Host> hosts) {
    joinAll(hosts.stream().map(Host::start).toList());
  }

  private static void joinAll(List<CompletableFuture<Void>> futures) {
    CompletableFuture.allOf(futures.toArray(CompletableFuture[]::new)).join();
  }

  void stop() {
    joinAll(hosts.stream().map(Host::stop).toList());
    groups.forEach(group -> group.loop.close().toCompletionStage().toCompletableFuture().join());
  }

  /** Crashes all nodes of a domain at once and starts them again together. */
  void restartDomain(int domain, int domains) {
    restart(List.of(groups.get(domain), groups.get(domain + domains)));
  }

  /** Crashes half of the nodes of a domain at once and starts them again together. */
  List<Host> restartHalfOfDomain(int domain) {
    restart(List.of(groups.get(domain)));
    return groups.get(domain).hosts;
  }

  /** Crashes all nodes at once and starts them again together. */
  void restartAll() {
    restart(groups);
  }

  private void restart(List<Group> affected) {
    joinAll(
        affected.stream()
            .map(group -> group.loop.close().toCompletionStage().toCompletableFuture())
            .toList());
    List<String> seeds = seeds();
    List<Host> restarted = new ArrayList<>();
    for (Group group : affected) {
      group.loop = newLoop();
      group.hosts.forEach(host -> host.replaceNode(group.loop, seeds));
      restarted.addAll(group.hosts);
    }
    startAll(restarted);
  }

  /**
   * Waits until each node knows the processes that run now on all hosts; returns how many do not in
   * the end.
   */
  long awaitJoined(long timeoutMs) throws InterruptedException {
    Map<String, Long> incarnations =
        hosts.stream().collect(Collectors.toMap(Host::hostId, Host::incarnation));
    return await(hosts, host -> host.knows(incarnations), timeoutMs);
  }

  /** Waits until all nodes have an edit in force; returns how many lack it in the end. */
  long awaitSequence(long sequence, long timeoutMs) throws InterruptedException {
    return await(hosts, host -> host.sequence() >= sequence, timeoutMs);
  }

  /** Waits until some hosts meet a condition; returns how many do not in the end. */
  static long await(List<Host> hosts, Predicate<Host> condition, long timeoutMs)
      throws InterruptedException {
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    List<Host> missing = new ArrayList<>(hosts);
    while (true) {
      missing.removeIf(condition);
      if (missing.isEmpty() || System.nanoTime() > endNanos) {
        return missing.size();
      }
      Thread.sleep(CHECK_INTERVAL_MS);
    }
  }

  /** Returns the sum of a counter over all hosts. */
  long sum(ToLongFunction<Host> counter) {
    return hosts.stream().mapToLong(counter).sum();
  }

  List<Host> hosts() {
    return hosts;
  }

  InvariantWatch watch() {
    return watch;
  }
}
