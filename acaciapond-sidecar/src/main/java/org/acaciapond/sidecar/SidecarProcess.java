package org.acaciapond.sidecar;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.acaciapond.common.lifecycle.ManagedService;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.http.HttpExchange;
import org.acaciapond.http.HttpListener;
import org.acaciapond.http.ListenerResources;
import org.acaciapond.http.MemoryAccount;
import org.acaciapond.http.ServerLimits;
import org.acaciapond.mesh.limit.LimitBounds;
import org.acaciapond.mesh.limit.LimitMessage;
import org.acaciapond.mesh.peer.NodeRecord;
import org.acaciapond.mesh.platform.PlatformCodec;
import org.acaciapond.mesh.platform.SidecarSettings;
import org.acaciapond.mesh.platform.SocketAddressSetting;
import org.acaciapond.mesh.retry.RetryBudget;
import org.acaciapond.mesh.route.ClientLimits;
import org.acaciapond.mesh.route.DesiredStateHolder;
import org.acaciapond.mesh.route.RouteTable;
import org.acaciapond.mesh.store.MeshStore;
import org.acaciapond.mesh.store.StoreArea;
import org.acaciapond.mesh.target.TargetChooser;
import org.acaciapond.rollout.exposure.ExposureLimits;
import org.acaciapond.rollout.exposure.ExposureSchedule;
import org.acaciapond.sidecar.call.ExplainHandler;
import org.acaciapond.sidecar.call.RequestRouter;
import org.acaciapond.sidecar.control.ControlEndpoint;
import org.acaciapond.sidecar.control.StatusEndpoint;
import org.acaciapond.sidecar.limit.AccountLimits;
import org.acaciapond.sidecar.limit.LimitMessages;
import org.acaciapond.sidecar.limit.SharedRetries;
import org.acaciapond.sidecar.peer.PeerNetwork;
import org.acaciapond.sidecar.rollout.RolloutService;
import org.acaciapond.sidecar.state.NodeRegistry;
import org.acaciapond.sidecar.state.OperatorState;
import org.acaciapond.sidecar.state.OperatorStateExchange;
import org.acaciapond.sidecar.state.StoreFeed;
import org.acaciapond.sidecar.target.TargetGateway;
import org.acaciapond.sidecar.telemetry.EventLog;
import org.acaciapond.sidecar.telemetry.NodeMetrics;
import org.jspecify.annotations.Nullable;

/** Sidecar node: wires all components on one event loop, starts them and stops them in order. */
public final class SidecarProcess implements ManagedService {

  private static final ServerLimits CONTROL_LIMITS =
      new ServerLimits(16_384, 65_536, 5_000, 60_000);
  // Longest time that the store may hold a request for changes. The first reader of a failure
  // domain uses a short one, because it notices a connection that has stopped responding only when
  // this time is over; the second reader is a standby.
  private static final Duration FIRST_READER_MAX_WAIT = Duration.ofMillis(1_200);
  private static final Duration SECOND_READER_MAX_WAIT = Duration.ofSeconds(5);
  // Clients stop using a node after two failed readiness checks, one per second.
  private static final int UNREADY_NOTICE_MS = 2_300;
  // Delay before this node announces its shutdown to other nodes: until then, most of their calls
  // can still end before the process does.
  private static final int SHUTDOWN_ANNOUNCEMENT_DELAY_MS = 1_200;
  // The platform kills a process at the end of the grace period; requests get this share of it.
  private static final double GRACE_SHARE = 0.85;
  // Peers and the node's row in the store hold the departures that a restarted node does not know.
  // The target gateway starts to admit calls a short time after a peer has connected and the row
  // has been read, or after the longer time without one of them.
  private static final int ADMISSION_DELAY_AFTER_PEER_MS = 100;
  private static final int MAX_ADMISSION_DELAY_MS = 1_500;
  private static final int ADMISSION_CHECK_INTERVAL_MS = 50;
  private static final int STOP_CHECK_INTERVAL_MS = 50;
  private static final int QUIET_PERIOD_MS = 300;
  private static final int MAX_CONTROL_CONNECTIONS = 256;
  private static final int MEMORY_CHECK_INTERVAL_MS = 1_000;
  private final Vertx vertx;
  private final SidecarSettings settings;
  private final PlatformCodec codec;
  private final EventLog log;
  private final NodeMetrics metrics;
  private final TimeSource time;
  private final MemoryAccount memory;
  private final DesiredStateHolder desiredState = new DesiredStateHolder();
  private final RetryBudget retryBudget;
  private final OperatorState operatorState;
  private final RolloutService rollouts;
  private final TargetGateway gateway;
  private final PeerNetwork network;
  private final AccountLimits accountLimits;
  private final RequestRouter router;
  private final NodeRegistry nodeRegistry;
  private final StoreFeed operatorFeed;
  private final HttpListener outbound;
  private final HttpListener ready;
  private final HttpListener control;
  private final HttpListener metricsListener;
  private @Nullable Uni<Void> stopResult;
  private boolean readyLogged;

  /** Creates a node and wires its components. */
  public SidecarProcess(
      Vertx vertx,
      SidecarSettings settings,
      PlatformCodec codec,
      MeshStore store,
      EventLog log,
      TimeSource time) {
    this.vertx = vertx;
    this.settings = settings;
    this.codec = codec;
    this.log = log;
    this.metrics = new NodeMetrics();
    this.time = time;
    final DoubleSupplier random = () -> ThreadLocalRandom.current().nextDouble();
    final NodeRecord self =
        new NodeRecord(
            settings.nodeKey(),
            settings.peer().host(),
            settings.peer().port(),
            settings.domain(),
            settings.service(),
            time.now().toEpochMilli());
    operatorState = new OperatorState(codec, desiredState, log, metrics, time);
    ProcessLimits limits = ProcessLimits.of(settings);
    memory = new MemoryAccount(limits.heldBytes());
    gateway =
        new TargetGateway(
            vertx,
            settings,
            codec.headers(),
            () -> desiredState.coldRequestsPerS(settings.service()),
            memory,
            log,
            metrics,
            time);
    rollouts =
        new RolloutService(
            vertx,
            store,
            codec,
            self.key(),
            self.domain(),
            new ExposureSchedule(
                new ExposureLimits(
                    settings.bounds().newVersionShare(), settings.bounds().newVersionSlack())),
            log,
            metrics,
            time);
    OperatorStateExchange stateExchange =
        new OperatorStateExchange(
            vertx, operatorState, this::receivesChangesFromStore, log, metrics, random, time);
    accountLimits =
        new AccountLimits(
            vertx,
            self.key(),
            this::sendLimitMessage,
            desiredState,
            limitBounds(settings.bounds()),
            log,
            metrics,
            () -> ThreadLocalRandom.current().nextInt(),
            time);
    SidecarSettings.Bounds bounds = settings.bounds();
    retryBudget = new RetryBudget(bounds.retryRatio(), bounds.retrySlack(), bounds.retryWindowMs());
    final SharedRetries sharedRetries =
        new SharedRetries(
            retryBudget,
            this::sendLimitMessage,
            this::randomLimitPeer,
            this::knownNodeCount,
            metrics,
            () -> ThreadLocalRandom.current().nextInt(),
            time);
    network =
        new PeerNetwork(
            vertx,
            self,
            gateway,
            stateExchange,
            rollouts,
            new LimitMessages(accountLimits, sharedRetries),
            operatorState.evacuatedDomains()::contains,
            memory,
            log,
            metrics,
            random,
            time);
    operatorState.setEvacuationListener(this::applyEvacuations);
    operatorState.setChangeListener(network::announceRows);
    stateExchange.setRequestSender(network::send);
    operatorState.setOrderListener(rollouts::applyOrder);
    TargetChooser chooser = new TargetChooser(self.key(), self.domain(), random);
    router =
        new RequestRouter(
            vertx,
            settings,
            codec,
            gateway,
            desiredState,
            network,
            chooser,
            sharedRetries,
            accountLimits,
            rollouts,
            rollouts,
            log,
            metrics,
            random,
            time);
    nodeRegistry =
        new NodeRegistry(
            vertx,
            store,
            self,
            network::applyRow,
            gateway::restoreDeparture,
            network::markNodeTableRead,
            log,
            metrics,
            random);
    operatorState.setEraListener(nodeRegistry::onEraChanged);
    operatorFeed =
        new StoreFeed(
            vertx,
            store,
            StoreArea.OPERATOR,
            this::maxChangesWait,
            network::setReadsStore,
            operatorState::applyTable,
            operatorState::applyChanges,
            log,
            metrics,
            random);
    ControlEndpoint controlEndpoint =
        new ControlEndpoint(vertx, codec, gateway, nodeRegistry::recordDeparture, log, metrics);
    StatusEndpoint statusEndpoint =
        new StatusEndpoint(
            codec.readyPath(), this::isReady, log, metrics, new ExplainHandler(router)::respond);
    outbound =
        createListener(
            settings.outbound(),
            this::clientLimits,
            new ListenerResources(memory, limits.maxClientConnections()),
            router::handle);
    control = createControlListener(settings.control(), controlEndpoint::handle);
    metricsListener = createControlListener(settings.metrics(), statusEndpoint::handle);
    ready = createControlListener(settings.ready(), statusEndpoint::handle);
  }

  // Check-ins and readiness never wait for the memory that bodies hold.
  private HttpListener createControlListener(
      SocketAddressSetting address, Consumer<HttpExchange> handler) {
    return createListener(
        address,
        () -> CONTROL_LIMITS,
        new ListenerResources(MemoryAccount.unlimited(), MAX_CONTROL_CONNECTIONS),
        handler);
  }

  private static LimitBounds limitBounds(SidecarSettings.Bounds bounds) {
    return new LimitBounds(bounds.quotaWindowMs(), bounds.quotaOverShare(), bounds.quotaSlack());
  }

  private @Nullable String randomLimitPeer() {
    return network.randomLimitPeer();
  }

  private int knownNodeCount() {
    return network.knownNodeCount();
  }

  private void sendLimitMessage(String node, LimitMessage message) {
    network.sendLimitMessage(node, message);
  }

  private HttpListener createListener(
      SocketAddressSetting address,
      Supplier<ServerLimits> limits,
      ListenerResources resources,
      Consumer<HttpExchange> handler) {
    return new HttpListener(
        vertx,
        address.host(),
        address.port(),
        limits,
        resources,
        handler,
        new ListenerEvents(),
        time);
  }

  private void applyEvacuations() {
    gateway.setEvacuated(operatorState.evacuatedDomains().contains(settings.domain()));
    network.updateEvacuatedTargets();
  }

  private @Nullable Duration maxChangesWait() {
    return switch (network.readerRank()) {
      case 0 -> FIRST_READER_MAX_WAIT;
      case 1 -> SECOND_READER_MAX_WAIT;
      default -> null;
    };
  }

  private boolean receivesChangesFromStore() {
    boolean readsChanges = desiredState.current() == null || maxChangesWait() != null;
    return readsChanges && network.readsStore();
  }

  private ServerLimits clientLimits() {
    RouteTable table = desiredState.current();
    ClientLimits limits = table == null ? ClientLimits.DEFAULT : table.state().limits();
    return new ServerLimits(
        limits.maxHeaderBytes(),
        limits.maxBodyBytes(),
        limits.headerTimeoutMs(),
        limits.idleTimeoutMs());
  }

  private boolean isReady() {
    boolean readyNow =
        stopResult == null && desiredState.current() != null && network.isConnectedToAny();
    if (readyNow && !readyLogged) {
      readyLogged = true;
      log.event(
          "ready", "state_version", desiredState.version(), "nodes", network.knownNodeCount());
    }
    return readyNow;
  }

  @Override
  public Uni<Void> start() {
    log.event(
        "start",
        "domain",
        settings.domain(),
        "service",
        settings.service(),
        "outbound",
        settings.outbound().port(),
        "peer",
        settings.peer().port());
    operatorFeed.start();
    nodeRegistry.start();
    rollouts.start(network);
    startAdmissionAfterDelay();
    vertx.setPeriodic(
        MEMORY_CHECK_INTERVAL_MS,
        id -> metrics.setHeldBytes(memory.usedBytes(), memory.peakBytes()));
    // A node serves requests without its metrics if their port is in use.
    metricsListener
        .start()
        .subscribe()
        .with(done -> {}, error -> log.event("metrics_not_served", "error", error.getMessage()));
    return Uni.join()
        .all(List.of(control.start(), network.start(), outbound.start(), ready.start()))
        .andFailFast()
        .replaceWithVoid();
  }

  private void startAdmissionAfterDelay() {
    long startNanos = time.nanoTime();
    vertx.setPeriodic(
        ADMISSION_CHECK_INTERVAL_MS,
        id -> {
          boolean timedOut = (time.nanoTime() - startNanos) / 1_000_000 >= MAX_ADMISSION_DELAY_MS;
          if (network.connectedPeerCount() > 0 && nodeRegistry.isTableRead()) {
            vertx.cancelTimer(id);
            vertx.setTimer(ADMISSION_DELAY_AFTER_PEER_MS, timer -> gateway.startAdmission());
          } else if (timedOut) {
            vertx.cancelTimer(id);
            gateway.startAdmission();
          }
        });
  }

  /**
   * Applies the retry limits of changed settings and logs whether anything changed; all other
   * settings take effect at the next start.
   */
  public void reload(SidecarSettings changed) {
    boolean unchanged = changed.equals(settings);
    log.event("settings_read", "same", unchanged, "service", changed.service());
    retryBudget.setLimits(changed.bounds().retryRatio(), changed.bounds().retrySlack());
  }

  /**
   * Stops the node without aborting requests: it reports that it is not ready, serves until clients
   * have stopped using it, and waits for the requests in flight. Further calls join the stop that
   * is under way; each result completes only when the node has stopped.
   */
  @Override
  public Uni<Void> stop() {
    Uni<Void> underWay = stopResult;
    if (underWay != null) {
      log.event("stop_repeated", "open", router.openRequestCount());
      return underWay;
    }
    Uni<Void> result = completeOpenWork().memoize().indefinitely();
    stopResult = result;
    return result;
  }

  private Uni<Void> completeOpenWork() {
    log.event("stop", "open", router.openRequestCount(), "at_target", gateway.pendingCallCount());
    outbound.closeConnectionsAfterResponses();
    vertx.setTimer(SHUTDOWN_ANNOUNCEMENT_DELAY_MS, id -> gateway.announceNodeShutdown());
    long startNanos = time.nanoTime();
    return Uni.createFrom()
        .emitter(
            emitter -> {
              long[] quietSinceNanos = {startNanos};
              vertx.setPeriodic(
                  STOP_CHECK_INTERVAL_MS,
                  id -> {
                    long nowNanos = time.nanoTime();
                    if (nowNanos - startNanos > UNREADY_NOTICE_MS * 1_000_000L) {
                      router.refuseNewRequests();
                    }
                    if (hasOpenWork()) {
                      quietSinceNanos[0] = nowNanos;
                    }
                    long elapsedMs = (nowNanos - startNanos) / 1_000_000;
                    long quietMs = (nowNanos - quietSinceNanos[0]) / 1_000_000;
                    boolean quiet = elapsedMs > UNREADY_NOTICE_MS && quietMs > QUIET_PERIOD_MS;
                    if (quiet || elapsedMs > settings.bounds().graceMs() * GRACE_SHARE) {
                      vertx.cancelTimer(id);
                      log.event(
                          "stopped", "open", router.openRequestCount(), "after_ms", elapsedMs);
                      emitter.complete(null);
                    }
                  });
            });
  }

  private boolean hasOpenWork() {
    return router.openRequestCount() > 0
        || gateway.pendingCallCount() > 0
        || outbound.unwrittenResponses() > 0
        || network.pendingResponseBytes() > 0;
  }

  /** Logs rejected requests and counts failed connections. */
  private final class ListenerEvents implements HttpListener.Events {
    @Override
    public void requestRejected(int status, String clientHost) {
      log.request("request_rejected", "status", status, "client", clientHost);
    }

    @Override
    public void connectionFailed(String message) {
      metrics.recordRequest("connection_failed", 0);
    }

    @Override
    public void limited(HttpListener.Limit limit) {
      metrics.countLimited(limit.name().toLowerCase(Locale.ROOT));
    }
  }
}
