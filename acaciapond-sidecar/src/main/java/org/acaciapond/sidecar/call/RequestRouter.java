package org.acaciapond.sidecar.call;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.http.HttpExchange;
import org.acaciapond.http.HttpMessage;
import org.acaciapond.http.HttpResponse;
import org.acaciapond.mesh.account.Access;
import org.acaciapond.mesh.account.AccountDirectory;
import org.acaciapond.mesh.account.ClientAccount;
import org.acaciapond.mesh.admission.ServiceRoom;
import org.acaciapond.mesh.call.MeshCall;
import org.acaciapond.mesh.call.Reason;
import org.acaciapond.mesh.platform.CallHeaders;
import org.acaciapond.mesh.platform.PlatformCodec;
import org.acaciapond.mesh.platform.SidecarSettings;
import org.acaciapond.mesh.retry.AttemptLatencies;
import org.acaciapond.mesh.route.DesiredStateHolder;
import org.acaciapond.mesh.route.Route;
import org.acaciapond.mesh.route.RouteTable;
import org.acaciapond.mesh.target.SelectionCriteria;
import org.acaciapond.mesh.target.TargetChooser;
import org.acaciapond.sidecar.limit.AccountLimits;
import org.acaciapond.sidecar.limit.SharedRetries;
import org.acaciapond.sidecar.peer.PeerNetwork;
import org.acaciapond.sidecar.target.TargetGateway;
import org.acaciapond.sidecar.telemetry.EventLog;
import org.acaciapond.sidecar.telemetry.NodeMetrics;
import org.jspecify.annotations.Nullable;

/** Router of the requests of clients and of the local target to targets of the services. */
public final class RequestRouter {

  private static final int NOT_CONFIGURED_RETRY_MS = 250;
  private static final double DEFAULT_RESPONSE_BYTES = 1_000;
  private static final double RESPONSE_BYTES_SMOOTHING_FACTOR = 0.05;
  // Clients come back after at most this fraction of the time that they have left.
  private static final int CLIENT_WAIT_DIVISOR = 3;
  private static final int MAX_ROUTES = 4_096;
  private static final int MAX_SERVICES = 4_096;
  private static final int DEFAULT_TIMEOUT_MS = 60_000;
  private static final long NANOS_PER_MS = 1_000_000L;

  final Vertx vertx;
  final SidecarSettings settings;
  final CallHeaders headerNames;
  private final PlatformCodec codec;
  final TargetGateway gateway;
  final PeerNetwork network;
  final TargetChooser chooser;
  final SharedRetries retries;
  final AccountLimits accountLimits;
  final VersionFilter versions;
  final CallObserver callObserver;
  final EventLog log;
  final NodeMetrics metrics;
  final TimeSource time;
  final DesiredStateHolder desiredState;
  private final DoubleSupplier random;
  private final List<String> systemHeaders;
  private final List<String> systemHeadersWithCredentials;
  final AttemptLatencies latencies = new AttemptLatencies();
  private final Map<String, Double> responseBytes = new HashMap<>();
  private final Map<String, ServiceRoom> rooms = new HashMap<>();
  private boolean refusing;
  private int waitingForLimit;
  private final Set<RoutedRequest> openRequests = new LinkedHashSet<>();

  /** Creates a router. */
  public RequestRouter(
      Vertx vertx,
      SidecarSettings settings,
      PlatformCodec codec,
      TargetGateway gateway,
      DesiredStateHolder desiredState,
      PeerNetwork network,
      TargetChooser chooser,
      SharedRetries retries,
      AccountLimits accountLimits,
      VersionFilter versions,
      CallObserver callObserver,
      EventLog log,
      NodeMetrics metrics,
      DoubleSupplier random,
      TimeSource time) {
    this.vertx = vertx;
    this.settings = settings;
    this.codec = codec;
    this.gateway = gateway;
    this.headerNames = codec.headers();
    this.systemHeaders =
        List.of(
            headerNames.callId(),
            headerNames.timeoutMs(),
            headerNames.targetId(),
            headerNames.callerService(),
            headerNames.account());
    this.systemHeadersWithCredentials = new ArrayList<>(systemHeaders);
    systemHeadersWithCredentials.add(headerNames.credentials());
    this.desiredState = desiredState;
    this.network = network;
    this.chooser = chooser;
    this.retries = retries;
    this.accountLimits = accountLimits;
    this.versions = versions;
    this.callObserver = callObserver;
    this.log = log;
    this.metrics = metrics;
    this.random = random;
    this.time = time;
  }

  /** Returns the criteria by which a target is selected for a request. */
  SelectionCriteria criteria(
      Route route, String service, int rank, double objectiveLeftUs, double leftUs) {
    return new SelectionCriteria(
        responseBytes(route.name()),
        latencies.meanServiceUs(route.name()),
        rank,
        objectiveLeftUs,
        leftUs,
        Math.max(0, desiredState.coldRequestsPerS(service)));
  }

  /** Returns the smoothed length of a route's responses. */
  double responseBytes(String route) {
    return responseBytes.getOrDefault(route, DEFAULT_RESPONSE_BYTES);
  }

  /** Records the length of a response. */
  void recordResponseBytes(String route, int bytes) {
    if (responseBytes.size() < MAX_ROUTES || responseBytes.containsKey(route)) {
      responseBytes.merge(
          route,
          (double) bytes,
          (mean, latest) -> mean + RESPONSE_BYTES_SMOOTHING_FACTOR * (latest - mean));
    }
  }

  /** Refuses all further requests, because the node shuts down. */
  public void refuseNewRequests() {
    refusing = true;
  }

  /** Returns the number of requests without a response. */
  public int openRequestCount() {
    return openRequests.size() + waitingForLimit;
  }

  /** Routes a request or refuses it. */
  public void handle(HttpExchange exchange) {
    RouteTable table = desiredState.current();
    String id = exchange.header(headerNames.callId());
    if (table == null) {
      refuse(exchange, id, Reason.NOT_CONFIGURED, NOT_CONFIGURED_RETRY_MS);
      return;
    }
    if (refusing) {
      refuse(exchange, id, Reason.CLOSED, 0);
      return;
    }
    String host = exchange.header("host");
    Route route = host == null ? null : table.match(host, exchange.uri());
    if (route == null) {
      endUnrouted(exchange, id, 404, "no_route", "state_version", table.version());
      return;
    }
    if (id == null || id.isEmpty()) {
      endUnrouted(exchange, id, 400, "no_id", "route", route.name());
      return;
    }
    authorize(exchange, id, route, table);
  }

  private void authorize(HttpExchange exchange, String id, Route route, RouteTable table) {
    String parentId = codec.parentId(id);
    MeshCall parent = parentId == null ? null : gateway.findRunningCall(parentId);
    AccountDirectory accounts = table.state().accounts();
    // Calls that a target makes for a request carry no key; the request itself had one.
    boolean keyNeeded = !route.open() && parent == null;
    Access access = Access.decide(accounts, keyOf(exchange), keyNeeded);
    if (access.granted()) {
      int clientTimeoutMs = timeoutMs(exchange.header(headerNames.timeoutMs()));
      limit(
          new IncomingRequest(
              exchange,
              id,
              forwardedHeaders(exchange, accounts),
              route,
              Math.min(clientTimeoutMs, route.timeoutMs()),
              exchange.receivedNanos() + clientTimeoutMs * NANOS_PER_MS,
              parent,
              access.account()));
    } else if (parentId != null && exchange.header(headerNames.credentials()) == null) {
      // A target may make calls for a request that has ended, also after a restart of this node.
      endUnrouted(exchange, id, 503, "parent_ended", "route", route.name());
    } else {
      endUnauthorized(exchange, id, table.version());
    }
  }

  private void limit(IncomingRequest request) {
    ClientAccount account = request.account();
    if (account == null || !account.limit().isLimited()) {
      route(request, RequestTokens.UNLIMITED);
      return;
    }
    waitingForLimit++;
    long clientLeftMs = (request.clientDeadlineNanos() - time.nanoTime()) / NANOS_PER_MS;
    new LimitedRequest(
            request.exchange(),
            accountLimits,
            account,
            tokens -> {
              waitingForLimit--;
              route(request, tokens);
            },
            retryAfterMs -> {
              waitingForLimit--;
              endOverLimit(request, account, retryAfterMs);
            },
            () -> {
              waitingForLimit--;
              recordUnrouted(
                  request.exchange(),
                  request.id(),
                  0,
                  "client_left",
                  "route",
                  request.route().name());
            })
        .start((int) (clientLeftMs / CLIENT_WAIT_DIVISOR));
  }

  private void route(IncomingRequest incoming, RequestTokens tokens) {
    String route = incoming.route().name();
    String service = incoming.route().selectService(random.getAsDouble());
    Long firstReceivedNanos =
        room(service)
            .returns()
            .takeFirstReceivedNanos(route, incoming.clientDeadlineNanos(), time.nanoTime());
    RoutedRequest request =
        new RoutedRequest(
            this, incoming, service, firstReceivedNanos, random.getAsDouble(), tokens);
    openRequests.add(request);
    retries.recordRequest(service);
    MeshCall parent = incoming.parent();
    if (parent != null && parent.retry()) {
      retries.recordRetry(service);
    }
    request.start();
  }

  private void endOverLimit(IncomingRequest request, ClientAccount account, int retryAfterMs) {
    HttpExchange exchange = request.exchange();
    metrics.recordRequest("over_limit", time.nanoTime() - exchange.receivedNanos());
    log.request(
        "request_ended",
        "id",
        request.id(),
        "end",
        "over_limit",
        "status",
        429,
        "route",
        request.route().name(),
        "account",
        account.name(),
        "retry_after_ms",
        retryAfterMs);
    exchange.respond(
        HttpResponse.empty(429, List.of("Retry-After", RetryAfter.seconds(retryAfterMs))));
  }

  /** Returns the key that a request carries, or null if it carries not exactly one. */
  @Nullable String keyOf(HttpExchange exchange) {
    if (HttpMessage.count(exchange.headers(), headerNames.credentials()) != 1) {
      return null;
    }
    String credentials = exchange.header(headerNames.credentials());
    return credentials == null ? null : codec.decodeKey(credentials);
  }

  // Without accounts, the credentials are a header like any other.
  private List<String> forwardedHeaders(HttpExchange exchange, AccountDirectory accounts) {
    return HttpMessage.endToEnd(
        exchange.headers(), accounts.isConfigured() ? systemHeadersWithCredentials : systemHeaders);
  }

  private static int timeoutMs(@Nullable String header) {
    if (header == null) {
      return DEFAULT_TIMEOUT_MS;
    }
    try {
      return Math.max(0, Integer.parseInt(header.trim()));
    } catch (NumberFormatException e) {
      return DEFAULT_TIMEOUT_MS;
    }
  }

  /** Returns what this node knows of the room at the targets of a service. */
  ServiceRoom room(String service) {
    if (rooms.size() >= MAX_SERVICES && !rooms.containsKey(service)) {
      rooms.clear();
    }
    return rooms.computeIfAbsent(service, key -> new ServiceRoom(random));
  }

  void requestEnded(RoutedRequest request) {
    openRequests.remove(request);
  }

  private void endUnauthorized(HttpExchange exchange, String id, long stateVersion) {
    recordUnrouted(exchange, id, 401, "unauthorized", "state_version", stateVersion);
    exchange.respond(HttpResponse.empty(401, List.of("WWW-Authenticate", codec.keyScheme())));
  }

  private void endUnrouted(
      HttpExchange exchange,
      @Nullable String id,
      int status,
      String end,
      String field,
      Object value) {
    recordUnrouted(exchange, id, status, end, field, value);
    exchange.respond(HttpResponse.empty(status, List.of()));
  }

  private void recordUnrouted(
      HttpExchange exchange,
      @Nullable String id,
      int status,
      String end,
      String field,
      Object value) {
    metrics.recordRequest(end, time.nanoTime() - exchange.receivedNanos());
    log.request(
        "request_ended",
        "id",
        id,
        "end",
        end,
        "status",
        status,
        "uri",
        exchange.uri(),
        field,
        value);
  }

  private void refuse(HttpExchange exchange, @Nullable String id, Reason reason, int retryAfterMs) {
    String end = "refused_" + reason.name().toLowerCase(Locale.ROOT);
    metrics.recordRequest(end, time.nanoTime() - exchange.receivedNanos());
    log.request("request_ended", "id", id, "end", end, "status", 503);
    exchange.respond(
        HttpResponse.empty(503, List.of("Retry-After", RetryAfter.seconds(retryAfterMs))));
  }
}
