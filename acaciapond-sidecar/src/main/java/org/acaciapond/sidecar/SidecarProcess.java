package org.acaciapond.sidecar;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.DoubleSupplier;
import org.acaciapond.common.lifecycle.ManagedService;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.http.HttpListener;
import org.acaciapond.http.ServerLimits;
import org.acaciapond.mesh.peer.NodeRecord;
import org.acaciapond.mesh.peer.PeerMessage;
import org.acaciapond.mesh.peer.StateRequestLimiter;
import org.acaciapond.mesh.platform.PlatformCodec;
import org.acaciapond.mesh.platform.SidecarSettings;
import org.acaciapond.mesh.platform.SocketAddressSetting;
import org.acaciapond.mesh.retry.RetryBudget;
import org.acaciapond.mesh.rollout.RolloutSteps;
import org.acaciapond.mesh.route.ClientLimits;
import org.acaciapond.mesh.route.DesiredStateHolder;
import org.acaciapond.mesh.route.RouteTable;
import org.acaciapond.mesh.store.MeshStore;
import org.acaciapond.mesh.store.StoreArea;
import org.acaciapond.mesh.store.StoreRow;
import org.acaciapond.mesh.target.TargetChooser;
import org.acaciapond.sidecar.call.RequestRouter;
import org.acaciapond.sidecar.control.ControlEndpoint;
import org.acaciapond.sidecar.control.StatusEndpoint;
import org.acaciapond.sidecar.peer.PeerNetwork;
import org.acaciapond.sidecar.peer.StateExchange;
import org.acaciapond.sidecar.rollout.RolloutService;
import org.acaciapond.sidecar.state.NodeRegistry;
import org.acaciapond.sidecar.state.OperatorState;
import org.acaciapond.sidecar.state.StoreFeed;
import org.acaciapond.sidecar.target.TargetGateway;
import org.acaciapond.sidecar.telemetry.EventLog;
import org.acaciapond.sidecar.telemetry.NodeMetrics;
import org.jspecify.annotations.Nullable;

/** A node: all its parts on one event loop, their start and their orderly stop. */
public final class SidecarProcess implements ManagedService {

  private static final ServerLimits CONTROL_LIMITS =
      new ServerLimits(16_384, 65_536, 5_000, 60_000);
  // The first node of a failure domain asks the store this often, so that changes arrive soon after
  // all connections have fallen silent; the second one stands by.
  private static final Duration FIRST_READER_WAIT = Duration.ofMillis(1_200);
  private static final Duration SECOND_READER_WAIT = Duration.ofSeconds(5);
  // Clients stop using a node after two missed readiness questions, one a second.
  private static final int UNREADY_MS = 2_300;
  // Other nodes use the target until most of their calls could no longer end before the process.
  private static final int DOOR_LEAVES_MS = 1_200;
  // The platform kills a process at the end of the grace time; requests get five sixths of it.
  private static final double GRACE_SHARE = 0.85;
  // Peers tell a node that starts again what they remember of its target; without any the door
  // opens after the longer time.
  private static final int SETTLE_AFTER_PEER_MS = 100;
  private static final int SETTLE_WITHOUT_PEER_MS = 1_500;
  private static final int SETTLE_CHECK_MS = 50;
  private static final int STOP_CHECK_MS = 50;
  private static final int QUIET_MS = 300;
  private static final int ASK_PEER_DELAY_MS = 100;
  private final Vertx vertx;
  private final SidecarSettings settings;
  private final PlatformCodec codec;
  private final EventLog log;
  private final NodeMetrics metrics;
  private final TimeSource time;
  private final DesiredStateHolder states = new DesiredStateHolder();
  private final RetryBudget budget;
  private final OperatorState operator;
  private final RolloutService moves;
  private final TargetGateway door;
  private final PeerNetwork network;
  private final RequestRouter router;
  private final NodeRegistry registry;
  private final StoreFeed operatorFeed;
  private final HttpListener outbound;
  private final HttpListener ready;
  private final HttpListener control;
  private final HttpListener metricsListener;
  private boolean stopping;
  private boolean readyLogged;

  /** Wires a node. */
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
    NodeRecord self =
        new NodeRecord(
            settings.nodeKey(),
            settings.peer().host(),
            settings.peer().port(),
            settings.domain(),
            settings.service(),
            time.now().toEpochMilli());
    operator = new OperatorState(codec, states, log, metrics);
    door = new TargetGateway(vertx, settings, codec.headers(), log, metrics, time);
    moves =
        new RolloutService(
            vertx,
            store,
            codec,
            self.key(),
            self.domain(),
            new RolloutSteps(settings.bounds().newVersionShare()),
            log,
            time);
    network = new PeerNetwork(vertx, self, door, new States(), moves, log, metrics, random, time);
    operator.onChange(network::announceRows);
    operator.onOrder(moves::applyOrder);
    SidecarSettings.Bounds bounds = settings.bounds();
    budget = new RetryBudget(bounds.repeatRatio(), bounds.repeatSlack(), bounds.repeatWindowMs());
    TargetChooser chooser = new TargetChooser(self.key(), self.domain(), random);
    router =
        new RequestRouter(
            vertx, settings, codec, door, states, network, chooser, budget, moves, moves, log,
            metrics, random, time);
    registry =
        new NodeRegistry(
            vertx,
            store,
            self,
            network::addOrUpdateNode,
            network::markNodeTableRead,
            log,
            metrics,
            random);
    operatorFeed =
        new StoreFeed(
            vertx,
            store,
            StoreArea.OPERATOR,
            this::readerWait,
            network::setReadsStore,
            rows -> operator.apply(rows, "store"),
            log,
            metrics,
            random);
    ControlEndpoint controlEndpoint = new ControlEndpoint(codec, door, log, metrics);
    StatusEndpoint statusEndpoint =
        new StatusEndpoint(codec.readyPath(), this::isReady, log, metrics);
    outbound = listener(settings.outbound(), this::clientLimits, router::handle);
    control = listener(settings.control(), () -> CONTROL_LIMITS, controlEndpoint::handle);
    metricsListener = listener(settings.metrics(), () -> CONTROL_LIMITS, statusEndpoint::handle);
    ready = listener(settings.ready(), () -> CONTROL_LIMITS, statusEndpoint::handle);
  }

  private HttpListener listener(
      SocketAddressSetting address,
      java.util.function.Supplier<ServerLimits> limits,
      java.util.function.Consumer<org.acaciapond.http.HttpExchange> handler) {
    return new HttpListener(
        vertx, address.host(), address.port(), limits, handler, new ListenerEvents(), time);
  }

  private @Nullable Duration readerWait() {
    return switch (network.readerRank()) {
      case 0 -> FIRST_READER_WAIT;
      case 1 -> SECOND_READER_WAIT;
      default -> null;
    };
  }

  private ServerLimits clientLimits() {
    RouteTable table = states.current();
    ClientLimits limits = table == null ? ClientLimits.DEFAULT : table.state().limits();
    return new ServerLimits(
        limits.maxHeaderBytes(),
        limits.maxBodyBytes(),
        limits.headerTimeoutMs(),
        limits.idleTimeoutMs());
  }

  private boolean isReady() {
    boolean now = !stopping && states.current() != null && network.connectedToAny();
    if (now && !readyLogged) {
      readyLogged = true;
      log.event("ready", "state_version", states.version(), "nodes", network.knownNodes());
    }
    return now;
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
    registry.start();
    moves.start(network);
    settleDoor();
    // A node serves without its metrics, should their port be taken.
    metricsListener
        .start()
        .subscribe()
        .with(done -> {}, error -> log.event("metrics_not_served", "error", error.getMessage()));
    return Uni.join()
        .all(List.of(control.start(), network.start(), outbound.start(), ready.start()))
        .andFailFast()
        .replaceWithVoid();
  }

  private void settleDoor() {
    long startNanos = time.nanoTime();
    vertx.setPeriodic(
        SETTLE_CHECK_MS,
        id -> {
          boolean waited = (time.nanoTime() - startNanos) / 1_000_000 >= SETTLE_WITHOUT_PEER_MS;
          if (network.connectedPeers() > 0) {
            vertx.cancelTimer(id);
            vertx.setTimer(SETTLE_AFTER_PEER_MS, timer -> door.settle());
          } else if (waited) {
            vertx.cancelTimer(id);
            door.settle();
          }
        });
  }

  /** Compares changed settings with those in force; addresses take effect at the next start. */
  public void reload(SidecarSettings changed) {
    boolean same = changed.equals(settings);
    log.event("settings_read", "same", same, "service", changed.service());
    budget.limits(changed.bounds().repeatRatio(), changed.bounds().repeatSlack());
  }

  /**
   * Ends the node without cutting requests: it turns unready, serves until clients have left it,
   * waits for what is under way, and then closes.
   */
  @Override
  public Uni<Void> stop() {
    if (stopping) {
      return Uni.createFrom().voidItem();
    }
    stopping = true;
    log.event("stop", "open", router.open(), "at_target", door.pending());
    outbound.closeConnectionsAfterAnswers();
    vertx.setTimer(DOOR_LEAVES_MS, id -> door.nodeLeaves());
    long startNanos = time.nanoTime();
    return Uni.createFrom()
        .emitter(
            emitter -> {
              long[] quietSinceNanos = {startNanos};
              vertx.setPeriodic(
                  STOP_CHECK_MS,
                  id -> {
                    long nowNanos = time.nanoTime();
                    if (nowNanos - startNanos > UNREADY_MS * 1_000_000L) {
                      router.refuseNew();
                    }
                    if (router.open() > 0 || door.pending() > 0) {
                      quietSinceNanos[0] = nowNanos;
                    }
                    long sinceMs = (nowNanos - startNanos) / 1_000_000;
                    long quietMs = (nowNanos - quietSinceNanos[0]) / 1_000_000;
                    boolean quiet = sinceMs > UNREADY_MS && quietMs > QUIET_MS;
                    if (quiet || sinceMs > settings.bounds().graceMs() * GRACE_SHARE) {
                      vertx.cancelTimer(id);
                      log.event("stopped", "open", router.open(), "after_ms", sinceMs);
                      emitter.complete(null);
                    }
                  });
            });
  }

  /** Exchange of the desired state with peers. */
  private final class States implements StateExchange {
    private final StateRequestLimiter catchUp = new StateRequestLimiter();

    @Override
    public long rowVersion() {
      return operator.version();
    }

    @Override
    public List<PeerMessage.StateRow> rows() {
      return operator.held();
    }

    @Override
    public void onPeerVersion(long version, Runnable ask) {
      if (version <= operator.version()) {
        return;
      }
      // A node that asks the store itself hears of a change at the same moment as the peer.
      boolean storeTells = states.current() == null || network.readerRank() <= 1;
      if (!storeTells || !network.readsStore()) {
        askNow(version, ask);
      } else {
        vertx.setTimer(ASK_PEER_DELAY_MS, id -> askNow(version, ask));
      }
    }

    private void askNow(long version, Runnable ask) {
      if (catchUp.tryRequest(operator.version(), version, time.nanoTime())) {
        ask.run();
      }
    }

    @Override
    public void accept(List<PeerMessage.StateRow> rows) {
      catchUp.responseReceived();
      operator.apply(
          rows.stream()
              .map(row -> new StoreRow(row.key(), row.value(), row.rowVersion(), false))
              .toList(),
          "peer");
    }
  }

  /** Counts what listeners report. */
  private final class ListenerEvents implements HttpListener.Events {
    @Override
    public void rejected(int status, String clientHost) {
      log.request("request_rejected", "status", status, "client", clientHost);
    }

    @Override
    public void connectionFailed(String message) {
      metrics.request("connection_failed", 0);
    }
  }
}
