package org.acaciapond.node.faults;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.SocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.config.model.LimitsConfig;
import org.acaciapond.config.model.MeshConfig;
import org.acaciapond.config.model.RolloutConfig;
import org.acaciapond.config.model.RouteConfig;
import org.acaciapond.config.model.ServiceConfig;
import org.acaciapond.config.model.VersionConfig;
import org.acaciapond.config.version.ConfigCodec;
import org.acaciapond.platform.PlatformServer;
import org.acaciapond.platform.client.ConfigPublisher;
import org.acaciapond.platform.client.HttpPlatformClient;
import org.acaciapond.platform.client.PublishResult;
import org.acaciapond.platform.client.RetryPolicy;
import org.acaciapond.platform.client.Row;

/** Mesh of eight complete nodes in three failure domains over loopback, with calls and faults. */
final class FaultMesh implements AutoCloseable {

  static final String PLATFORM_IP = GatedNetwork.PREFIX + 250;

  /** Five times the 6 s in which a configuration must be active, to allow for a loaded machine. */
  static final long LIVENESS_TIMEOUT_MS = 30_000;

  private static final long CALL_INTERVAL_MS = 10;
  private static final int NON_IDEMPOTENT_EVERY = 3;
  private static final long BASE_BODY_BYTES = 1_000_000;
  private static final long CALL_TIMEOUT_MS = 1_500;

  final InvariantRecorder recorder = new InvariantRecorder();
  final GatedNetwork network = new GatedNetwork();
  final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(2));
  final List<Host> hosts = new ArrayList<>();
  private final PlatformServer platform = new PlatformServer(vertx, PLATFORM_IP, 0);
  private final HttpClient client =
      vertx.createHttpClient(new HttpClientOptions().setMaxPoolSize(64).setMaxWaitQueueSize(256));
  private final Random random;
  private final AtomicLong callNumber = new AtomicLong();
  private final AtomicLong editNumber = new AtomicLong();
  private final HttpPlatformClient platformClient;
  private volatile boolean faultsActive;

  FaultMesh(long seed) {
    random = new Random(seed);
    platform.start().await().indefinitely();
    platformClient =
        new HttpPlatformClient(
            vertx,
            PLATFORM_IP,
            platform.port(),
            new RetryPolicy(3, 900, 1_800, 50, 500),
            TimeSource.system(),
            new Random(seed));
    int hostNumber = 1;
    for (String domain : List.of("north", "south", "west")) {
      hosts.add(new Host(this, "front-" + domain, hostNumber++, domain, "front", "v1"));
      hosts.add(new Host(this, "back-" + domain, hostNumber++, domain, "back", "v1"));
      if (!domain.equals("west")) {
        hosts.add(new Host(this, "next-" + domain, hostNumber++, domain, "back", "v2"));
      }
    }
    publishEdit();
    hosts.get(0).start(List.of(), platform.port());
    startStoppedHosts();
    awaitActivation();
    awaitServing();
    vertx.setPeriodic(CALL_INTERVAL_MS, ignored -> callFromRandomHost());
  }

  static <T> T await(Future<T> future) {
    try {
      return future.toCompletionStage().toCompletableFuture().get(30, TimeUnit.SECONDS);
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  static boolean waitUntil(long timeoutMs, BooleanSupplier condition) {
    long endMs = System.currentTimeMillis() + timeoutMs;
    while (!condition.getAsBoolean()) {
      if (System.currentTimeMillis() > endMs) {
        return false;
      }
      sleep(50);
    }
    return true;
  }

  static void sleep(long durationMs) {
    try {
      Thread.sleep(durationMs);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  static String responseTo(String callId, String body) {
    return body.equals(callId) ? (callId + ";").repeat(400) : "body of another call: " + body;
  }

  Host host(String id) {
    return hosts.stream().filter(host -> host.id.equals(id)).findFirst().orElseThrow();
  }

  List<Host> runningHosts() {
    return hosts.stream().filter(Host::isRunning).toList();
  }

  List<Host> hostsOf(String service) {
    return hosts.stream().filter(host -> host.service.equals(service)).toList();
  }

  Host randomHost(List<Host> from) {
    return from.get(random.nextInt(from.size()));
  }

  /** Returns the holder of the poller lease of a domain, or any host if that one is not running. */
  Host pollerHost(String domain) {
    Row row = platformClient.readRow("lease/poller/" + domain).await().indefinitely().orElseThrow();
    String holder = new String(row.value());
    return runningHosts().stream()
        .filter(host -> holder.contains(host.id))
        .findFirst()
        .orElseGet(() -> randomHost(runningHosts()));
  }

  /** Marks that faults other than planned stops are active, so that connections may be cut. */
  void markFaultsActive() {
    faultsActive = true;
  }

  void onConnectionCut(Host host, String callId, long startedMs) {
    boolean beforeTimeout = System.currentTimeMillis() - startedMs < CALL_TIMEOUT_MS;
    if (!faultsActive && host.stopping && beforeTimeout) {
      recorder.recordCutByPlannedStop(host.id, callId);
    }
  }

  /** Starts all hosts whose node is not running, in parallel. */
  void startStoppedHosts() {
    List<Host> stopped = hosts.stream().filter(host -> !host.isRunning()).toList();
    List<String> seeds =
        runningHosts().stream().map(host -> host.node.peerAddress().toString()).limit(4).toList();
    runInParallel(stopped, host -> host.start(seeds, platform.port()));
  }

  static void runInParallel(List<Host> selectedHosts, java.util.function.Consumer<Host> action) {
    selectedHosts.stream()
        .map(host -> CompletableFuture.runAsync(() -> action.accept(host)))
        .toList()
        .forEach(CompletableFuture::join);
  }

  void setPlatformFault(String mode, long delayMs) {
    JsonObject fault = new JsonObject().put("mode", mode).put("delay_ms", delayMs);
    await(
        client
            .request(HttpMethod.PUT, platform.port(), PLATFORM_IP, "/faults")
            .compose(request -> request.send(fault.encode())));
  }

  void cutDomain(String domain, boolean fromOtherDomains) {
    for (Host host : hosts) {
      if (host.domain.equals(domain)) {
        network.cut(host.ip, PLATFORM_IP);
        hosts.stream()
            .filter(other -> fromOtherDomains && !other.domain.equals(domain))
            .forEach(other -> network.cut(host.ip, other.ip));
      }
    }
  }

  /** Ends all faults of nodes, targets, links and the platform, and restarts stopped nodes. */
  void heal() {
    setPlatformFault("none", 0);
    network.heal();
    hosts.forEach(Host::thaw);
    hosts.forEach(host -> host.targetBehavior = Host.TargetBehavior.NORMAL);
    startStoppedHosts();
    runningHosts().forEach(host -> host.announce(false));
    faultsActive = false;
  }

  /** Publishes an edit that differs from all others. */
  PublishResult publishEdit() {
    return publishEdit("v1", null);
  }

  PublishResult publishEdit(String currentVersion, Duration rolloutDuration) {
    long number = editNumber.incrementAndGet();
    PublishResult result =
        new ConfigPublisher(platformClient, TimeSource.system())
            .publish(configText(number, currentVersion, rolloutDuration), "operator-" + number)
            .await()
            .indefinitely();
    // An edit with an unknown outcome may or may not become active, so it is not recorded.
    if (result.outcome() == PublishResult.Outcome.ACCEPTED) {
      recorder.recordAcceptedEdit(result.version().sequence(), BASE_BODY_BYTES + number);
    } else if (result.outcome() != PublishResult.Outcome.UNKNOWN) {
      recorder.recordRejectedEdit(BASE_BODY_BYTES + number);
    }
    return result;
  }

  /** Publishes a text without validating it. */
  PublishResult publishUnvalidated(String text) {
    return new ConfigPublisher(platformClient, TimeSource.system())
        .publish(text, "operator-unchecked")
        .await()
        .indefinitely();
  }

  /**
   * Returns a configuration text whose services carry the number of the edit in their body limit.
   * Texts with an even number have an additional dependency.
   */
  String configText(long number, String currentVersion, Duration rolloutDuration) {
    boolean even = number % 2 == 0;
    RolloutConfig rollout =
        rolloutDuration == null
            ? null
            : new RolloutConfig("v2", TimeSource.system().now().plus(rolloutDuration));
    List<ServiceConfig> services = new ArrayList<>();
    services.add(
        service("front", even ? List.of("back", "extra") : List.of("back"), number, "v1", null));
    services.add(service("back", List.of(), number, currentVersion, rollout));
    if (even) {
      services.add(service("extra", List.of(), number, "v1", null));
    }
    try {
      return ConfigCodec.mapper().writeValueAsString(new MeshConfig(services));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  private static ServiceConfig service(
      String name,
      List<String> dependsOn,
      long number,
      String currentVersion,
      RolloutConfig rollout) {
    List<RouteConfig> routes = new ArrayList<>();
    routes.add(new RouteConfig("/safe", true, CALL_TIMEOUT_MS, 2, null));
    routes.add(new RouteConfig("/once", false, CALL_TIMEOUT_MS, 1, null));
    List<VersionConfig> versions = new ArrayList<>();
    versions.add(new VersionConfig("v1"));
    versions.add(new VersionConfig("v2"));
    if (number % 2 == 0) {
      versions.add(new VersionConfig("v3"));
      routes.add(new RouteConfig("/pinned", true, CALL_TIMEOUT_MS, 1, "v3"));
    }
    LimitsConfig limits = new LimitsConfig(12, 12, 130, BASE_BODY_BYTES + number);
    return new ServiceConfig(
        name, dependsOn, false, routes, limits, versions, currentVersion, rollout);
  }

  private void callFromRandomHost() {
    List<Host> origins =
        hostsOf("front").stream().filter(host -> host.isRunning() && !host.stopping).toList();
    if (!origins.isEmpty()) {
      call(randomHost(origins));
    }
  }

  private void call(Host origin) {
    long number = callNumber.incrementAndGet();
    boolean idempotent = number % NON_IDEMPOTENT_EVERY != 0;
    String id = "call-" + number;
    RequestOptions options =
        new RequestOptions()
            .setServer(SocketAddress.inetSocketAddress(origin.node.outboundPort(), "127.0.0.1"))
            .setHost("back")
            .setPort(origin.node.outboundPort())
            .setMethod(HttpMethod.POST)
            .setURI(idempotent ? "/safe" : "/once")
            .putHeader("x-acaciapond-call-id", id);
    recorder.recordCall(id, origin.id, idempotent, responseTo(id, id));
    client
        .request(options)
        .compose(request -> request.send(id))
        .compose(
            response ->
                response
                    .body()
                    .onSuccess(
                        body ->
                            recorder.recordResponse(
                                id,
                                response.statusCode(),
                                response.getHeader("x-acaciapond-outcome"),
                                body.toString())))
        .onFailure(
            error -> {
              if (!faultsActive && origin.stopping) {
                recorder.recordCutByPlannedStop(origin.id, id);
              }
            });
  }

  /** Waits until the last accepted edit is active on all hosts; otherwise reports I10. */
  void awaitActivation() {
    long expectedSequence = recorder.lastAcceptedSequence();
    waitUntil(
        LIVENESS_TIMEOUT_MS,
        () -> hosts.stream().allMatch(host -> activeSequence(host) >= expectedSequence));
    hosts.stream()
        .filter(host -> activeSequence(host) < expectedSequence)
        .forEach(host -> recorder.recordNotActive(host.id, activeSequence(host), expectedSequence));
  }

  static long activeSequence(Host host) {
    return host.isRunning() ? host.node.snapshots().current().version().sequence() : -1;
  }

  /** Waits until calls from every host of service {@code front} succeed again. */
  void awaitServing() {
    for (Host front : hostsOf("front")) {
      boolean served =
          waitUntil(
              LIVENESS_TIMEOUT_MS,
              () -> {
                long earlierResponses = recorder.countResponses(200);
                call(front);
                sleep(200);
                return recorder.countResponses(200) > earlierResponses;
              });
      if (!served) {
        throw new AssertionError("calls of " + front.id + " are not answered");
      }
    }
  }

  @Override
  public void close() {
    setPlatformFault("none", 0);
    runInParallel(runningHosts(), Host::kill);
    await(vertx.close());
  }
}
