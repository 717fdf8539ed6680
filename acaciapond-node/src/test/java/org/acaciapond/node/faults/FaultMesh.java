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

/** Eight whole nodes in three failure domains over loopback, with callers, targets and faults. */
final class FaultMesh implements AutoCloseable {

  static final String PLATFORM_IP = GatedNetwork.PREFIX + 250;

  /** Configurations are in force within 6 s (1.7); five times that on a loaded machine. */
  static final long LIVENESS_MS = 30_000;

  private static final long CALL_INTERVAL_MS = 10;
  private static final int NON_IDEMPOTENT_EVERY = 3;
  private static final long BASE_BODY_BYTES = 1_000_000;
  private static final long CALL_TIMEOUT_MS = 1_500;

  final InvariantRecorder recorder = new InvariantRecorder();
  final GatedNetwork network = new GatedNetwork();
  final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(2));
  final List<Host> hosts = new ArrayList<>();
  private final PlatformServer platform = new PlatformServer(vertx, PLATFORM_IP, 0);
  private final HttpClient caller =
      vertx.createHttpClient(new HttpClientOptions().setMaxPoolSize(64).setMaxWaitQueueSize(256));
  private final Random random;
  private final AtomicLong callNumber = new AtomicLong();
  private final AtomicLong marker = new AtomicLong();
  private final HttpPlatformClient platformClient;
  private volatile boolean disturbed;

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
    int number = 1;
    for (String domain : List.of("north", "south", "west")) {
      hosts.add(new Host(this, "front-" + domain, number++, domain, "front", "v1"));
      hosts.add(new Host(this, "back-" + domain, number++, domain, "back", "v1"));
      if (!domain.equals("west")) {
        hosts.add(new Host(this, "next-" + domain, number++, domain, "back", "v2"));
      }
    }
    edit();
    hosts.get(0).start(List.of(), platform.port());
    startMissing();
    awaitInForce();
    awaitServing();
    vertx.setPeriodic(CALL_INTERVAL_MS, ignored -> callFromAny());
  }

  static <T> T await(Future<T> future) {
    try {
      return future.toCompletionStage().toCompletableFuture().get(30, TimeUnit.SECONDS);
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  static boolean within(long limitMs, BooleanSupplier condition) {
    long endMs = System.currentTimeMillis() + limitMs;
    while (!condition.getAsBoolean()) {
      if (System.currentTimeMillis() > endMs) {
        return false;
      }
      pause(50);
    }
    return true;
  }

  static void pause(long durationMs) {
    try {
      Thread.sleep(durationMs);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  static String answerTo(String callId, String body) {
    return body.equals(callId) ? (callId + ";").repeat(400) : "body of another call: " + body;
  }

  Host host(String id) {
    return hosts.stream().filter(host -> host.id.equals(id)).findFirst().orElseThrow();
  }

  List<Host> running() {
    return hosts.stream().filter(Host::isRunning).toList();
  }

  List<Host> of(String service) {
    return hosts.stream().filter(host -> host.service.equals(service)).toList();
  }

  Host any(List<Host> from) {
    return from.get(random.nextInt(from.size()));
  }

  /** Returns the holder of the poller lease of a domain; another host when none is recorded. */
  Host poller(String domain) {
    Row row = platformClient.readRow("lease/poller/" + domain).await().indefinitely().orElseThrow();
    String holder = new String(row.value());
    return running().stream()
        .filter(host -> holder.contains(host.id))
        .findFirst()
        .orElseGet(() -> any(running()));
  }

  /** Notes that other faults than planned stops act, so that connections may be cut. */
  void disturb() {
    disturbed = true;
  }

  void onCut(Host host, String callId, long startedMs) {
    boolean inTime = System.currentTimeMillis() - startedMs < CALL_TIMEOUT_MS;
    if (!disturbed && host.stopping && inTime) {
      recorder.cutByPlannedStop(host.id, callId);
    }
  }

  /** Starts the hosts without a node, all at once. */
  void startMissing() {
    List<Host> missing = hosts.stream().filter(host -> !host.isRunning()).toList();
    List<String> seeds =
        running().stream().map(host -> host.node.peerAddress().toString()).limit(4).toList();
    all(missing, host -> host.start(seeds, platform.port()));
  }

  static void all(List<Host> chosen, java.util.function.Consumer<Host> work) {
    chosen.stream()
        .map(host -> CompletableFuture.runAsync(() -> work.accept(host)))
        .toList()
        .forEach(CompletableFuture::join);
  }

  void platformFault(String mode, long delayMs) {
    JsonObject fault = new JsonObject().put("mode", mode).put("delay_ms", delayMs);
    await(
        caller
            .request(HttpMethod.PUT, platform.port(), PLATFORM_IP, "/faults")
            .compose(request -> request.send(fault.encode())));
  }

  void cutDomain(String domain, boolean fromOthers) {
    for (Host host : hosts) {
      if (host.domain.equals(domain)) {
        network.cut(host.ip, PLATFORM_IP);
        hosts.stream()
            .filter(other -> fromOthers && !other.domain.equals(domain))
            .forEach(other -> network.cut(host.ip, other.ip));
      }
    }
  }

  /** Ends all faults: frozen and dead nodes return, targets answer, links and platform work. */
  void heal() {
    platformFault("none", 0);
    network.heal();
    hosts.forEach(Host::thaw);
    hosts.forEach(host -> host.mood = Host.Mood.WELL);
    startMissing();
    running().forEach(host -> host.announce(false));
    disturbed = false;
  }

  /** Publishes an edit that differs from all others. */
  PublishResult edit() {
    return edit("v1", null);
  }

  PublishResult edit(String current, Duration moveWithin) {
    long number = marker.incrementAndGet();
    PublishResult result =
        new ConfigPublisher(platformClient, TimeSource.system())
            .publish(text(number, current, moveWithin), "operator-" + number)
            .await()
            .indefinitely();
    // An edit of unknown fate may or may not come into force, so nothing is recorded of it.
    if (result.outcome() == PublishResult.Outcome.ACCEPTED) {
      recorder.accepted(result.version().sequence(), BASE_BODY_BYTES + number);
    } else if (result.outcome() != PublishResult.Outcome.UNKNOWN) {
      recorder.refused(BASE_BODY_BYTES + number);
    }
    return result;
  }

  /** Publishes a text that no validator saw. */
  PublishResult publishUnchecked(String text) {
    return new ConfigPublisher(platformClient, TimeSource.system())
        .publish(text, "operator-unchecked")
        .await()
        .indefinitely();
  }

  /** Returns a text of which each service bears the number and every second has a dependency. */
  String text(long number, String current, Duration moveWithin) {
    boolean even = number % 2 == 0;
    RolloutConfig move =
        moveWithin == null
            ? null
            : new RolloutConfig("v2", TimeSource.system().now().plus(moveWithin));
    List<ServiceConfig> services = new ArrayList<>();
    services.add(
        service("front", even ? List.of("back", "extra") : List.of("back"), number, "v1", null));
    services.add(service("back", List.of(), number, current, move));
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
      String name, List<String> dependsOn, long number, String current, RolloutConfig move) {
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
    return new ServiceConfig(name, dependsOn, false, routes, limits, versions, current, move);
  }

  private void callFromAny() {
    List<Host> origins =
        of("front").stream().filter(host -> host.isRunning() && !host.stopping).toList();
    if (!origins.isEmpty()) {
      call(any(origins));
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
    recorder.started(id, origin.id, idempotent, answerTo(id, id));
    caller
        .request(options)
        .compose(request -> request.send(id))
        .compose(
            response ->
                response
                    .body()
                    .onSuccess(
                        body ->
                            recorder.answered(
                                id,
                                response.statusCode(),
                                response.getHeader("x-acaciapond-outcome"),
                                body.toString())))
        .onFailure(
            error -> {
              if (!disturbed && origin.stopping) {
                recorder.cutByPlannedStop(origin.id, id);
              }
            });
  }

  /** Waits until the last accepted edit is in force at all hosts; otherwise reports I10. */
  void awaitInForce() {
    long wanted = recorder.lastAccepted();
    within(LIVENESS_MS, () -> hosts.stream().allMatch(host -> sequenceOf(host) >= wanted));
    hosts.stream()
        .filter(host -> sequenceOf(host) < wanted)
        .forEach(host -> recorder.notInForce(host.id, sequenceOf(host), wanted));
  }

  static long sequenceOf(Host host) {
    return host.isRunning() ? host.node.snapshots().current().version().sequence() : -1;
  }

  /** Waits until calls of every front are answered again. */
  void awaitServing() {
    for (Host front : of("front")) {
      boolean served =
          within(
              LIVENESS_MS,
              () -> {
                long before = recorder.answeredWith(200);
                call(front);
                pause(200);
                return recorder.answeredWith(200) > before;
              });
      if (!served) {
        throw new AssertionError("calls of " + front.id + " are not answered");
      }
    }
  }

  @Override
  public void close() {
    platformFault("none", 0);
    all(running(), Host::kill);
    await(vertx.close());
  }
}
