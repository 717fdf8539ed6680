package org.acaciapond.node.membership;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.acaciapond.common.lifecycle.ManagedService;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.membership.GossipEntry;
import org.acaciapond.membership.GossipStore;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.MembershipAction;
import org.acaciapond.membership.MembershipEvent;
import org.acaciapond.membership.MembershipSettings;
import org.acaciapond.membership.MembershipState;
import org.acaciapond.membership.MembershipView;
import org.acaciapond.membership.NodeAddress;
import org.acaciapond.platform.client.PlatformClient;
import org.acaciapond.protocol.message.MembershipMessage;
import org.acaciapond.protocol.message.Message;
import org.acaciapond.protocol.transport.PeerConnection;
import org.acaciapond.protocol.transport.PeerTransport;
import org.acaciapond.routing.target.TargetDirectory;
import org.acaciapond.routing.target.TargetEndpoint;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/** Service that runs the membership protocol of this node over its peer connections. */
public final class MembershipService
    implements ManagedService, MembershipView, GossipStore, TargetDirectory {

  private static final Logger LOG = LogManager.getLogger(MembershipService.class);

  /**
   * Minimum time of a catch-up after a pause, so that other nodes can answer with the latest head.
   */
  private static final long MIN_CATCH_UP_MS = 2_000;

  /**
   * Delay before the service stops and connections are closed, so that the last message is written.
   */
  private static final Duration FLUSH_DELAY = Duration.ofMillis(100);

  private static final long FIRST_SEEDS_JITTER_MS = 2_000;
  private static final long ISOLATED_SEEDS_INTERVAL_MS = 5_000;

  private final Vertx vertx;
  private final TimeSource time;
  private final PeerTransport transport;
  private final Supplier<Member> initialSelf;
  private final LocalTarget localTarget;
  private final String ownService;
  private final List<NodeAddress> configuredSeeds;
  private final SeedRow seedRow;
  private final BooleanSupplier hasCaughtUp;
  private final long seedsIntervalMs;
  private final long drainDelayMs;
  private final SplittableRandom random;
  private final Object startLock = new Object();
  private final List<Consumer<GossipEntry>> pendingListeners = new ArrayList<>();
  private final List<Consumer<MembershipEvent>> eventListeners = new CopyOnWriteArrayList<>();
  private final List<GossipEntry> pendingEntries = new ArrayList<>();
  private volatile @Nullable RunningState runningState;
  private volatile Map<String, List<TargetEndpoint>> targets = Map.of();
  private LocalTarget.@Nullable Announcement lastAnnouncement;
  private long targetsViewVersion = -1;
  private long nextSeedsRefreshMs;
  private boolean seedsRefreshRunning;
  private long catchUpStartMs;
  private long timerId = -1;
  private @Nullable Uni<Void> stopResult;

  private record RunningState(Context context, MembershipState state, PeerLinks links) {}

  /**
   * Creates a service that is not started.
   *
   * @param vertx Vert.x instance for timers
   * @param time clock
   * @param transport transport for connections to other nodes
   * @param initialSelf supplies the record of this node, called once its ports are known
   * @param localTarget announcements of the local target
   * @param ownService service of the local target
   * @param seeds nodes to contact first
   * @param platform client for the seed rows
   * @param hasCaughtUp returns whether this node has the latest configuration it has learned of
   * @param seedsIntervalMs interval between checks of the seed row
   * @param drainDelayMs time between LEAVING and LEFT
   */
  public MembershipService(
      Vertx vertx,
      TimeSource time,
      PeerTransport transport,
      Supplier<Member> initialSelf,
      LocalTarget localTarget,
      String ownService,
      List<NodeAddress> seeds,
      PlatformClient platform,
      BooleanSupplier hasCaughtUp,
      long seedsIntervalMs,
      long drainDelayMs) {
    this.vertx = vertx;
    this.time = time;
    this.transport = transport;
    this.initialSelf = initialSelf;
    this.localTarget = localTarget;
    this.ownService = ownService;
    this.configuredSeeds = List.copyOf(seeds);
    this.seedRow = new SeedRow(platform, initialSelf.get().failureDomain());
    this.hasCaughtUp = hasCaughtUp;
    this.seedsIntervalMs = seedsIntervalMs;
    this.drainDelayMs = drainDelayMs;
    this.random = new SplittableRandom(time.nanoTime() ^ initialSelf.get().hostId().hashCode());
  }

  @Override
  public Uni<Void> start() {
    MembershipState state =
        new MembershipState(
            MembershipSettings.DEFAULTS,
            initialSelf.get(),
            configuredSeeds,
            random.split(),
            nowMs());
    Context context = vertx.getOrCreateContext();
    PeerLinks links = new PeerLinks(context, transport, random.split(), this::onMessage);
    synchronized (startLock) {
      pendingListeners.forEach(state::addListener);
      pendingEntries.forEach(state::publish);
      runningState = new RunningState(context, state, links);
    }
    nextSeedsRefreshMs = nowMs() + random.nextLong(FIRST_SEEDS_JITTER_MS);
    timerId =
        vertx.setPeriodic(
            MembershipState.TICK_INTERVAL_MS,
            id -> runOnContext((active, now) -> tick(active, now)));
    return Uni.createFrom().voidItem();
  }

  /**
   * Announces that the node leaves and, after the drain delay, that it has left. Further calls join
   * the stop that is under way.
   */
  @Override
  public Uni<Void> stop() {
    synchronized (startLock) {
      if (runningState == null) {
        return Uni.createFrom().voidItem();
      }
      Uni<Void> underWay = stopResult;
      if (underWay == null) {
        underWay = leave().memoize().indefinitely();
        stopResult = underWay;
      }
      return underWay;
    }
  }

  private Uni<Void> leave() {
    runOnContext((r, now) -> execute(r, r.state().announceLeaving(now), now));
    return delay(Duration.ofMillis(drainDelayMs))
        .invoke(() -> runOnContext((r, now) -> execute(r, r.state().announceLeft(now), now)))
        .chain(() -> delay(FLUSH_DELAY))
        .invoke(() -> vertx.cancelTimer(timerId));
  }

  private Uni<Void> delay(Duration delay) {
    return Uni.createFrom()
        .emitter(
            emitter -> vertx.setTimer(Math.max(1, delay.toMillis()), id -> emitter.complete(null)));
  }

  private interface Step {

    void run(RunningState active, long nowMs);
  }

  /** Runs a step on the context of the state machine, so that steps never run concurrently. */
  private void runOnContext(Step step) {
    RunningState active = runningState;
    if (active != null) {
      active.context().runOnContext(ignored -> step.run(active, nowMs()));
    }
  }

  private long nowMs() {
    return time.nanoTime() / 1_000_000;
  }

  private void tick(RunningState active, long nowMs) {
    MembershipState state = active.state();
    announceLocalTarget(state);
    if (state.isCatchingUp()
        && nowMs - catchUpStartMs >= MIN_CATCH_UP_MS
        && hasCaughtUp.getAsBoolean()) {
      state.completeCatchUp();
    }
    execute(active, state.tick(nowMs), nowMs);
    active.links().closeIdle(nowMs);
    refreshTargets(state);
    refreshSeeds(state, nowMs);
  }

  private void announceLocalTarget(MembershipState state) {
    LocalTarget.Announcement next = localTarget.announcement();
    if (next == null || next.equals(lastAnnouncement)) {
      return;
    }
    lastAnnouncement = next;
    state.updateTarget(ownService, next.version(), next.weight(), next.leaving());
  }

  private void execute(RunningState active, List<MembershipAction> actions, long nowMs) {
    for (MembershipAction action : actions) {
      if (action instanceof MembershipAction.Send send) {
        active.links().send(send.to(), send.packet(), nowMs);
      } else if (action instanceof MembershipAction.Notify notify) {
        LOG.info("Membership event: {}", notify.event());
        eventListeners.forEach(listener -> listener.accept(notify.event()));
        if (notify.event() == MembershipEvent.CATCH_UP_REQUIRED) {
          catchUpStartMs = nowMs;
        }
      }
    }
  }

  /** Processes a membership message of another node; other messages are ignored. */
  public void onMessage(PeerConnection connection, Message message) {
    if (message instanceof MembershipMessage membership) {
      runOnContext(
          (active, now) -> {
            NodeAddress from = membership.packet().sender();
            active.links().registerInbound(from, connection, now);
            execute(active, active.state().onMessage(now, from, membership.packet()), now);
          });
    }
  }

  private void refreshTargets(MembershipState state) {
    if (state.viewVersion() == targetsViewVersion) {
      return;
    }
    targetsViewVersion = state.viewVersion();
    Map<String, List<TargetEndpoint>> next = new HashMap<>();
    for (Member member : state.members()) {
      if (!member.service().isEmpty() && member.state().acceptsWork()) {
        next.computeIfAbsent(member.service(), s -> new ArrayList<>()).add(toEndpoint(member));
      }
    }
    next.replaceAll((service, endpoints) -> List.copyOf(endpoints));
    targets = next;
  }

  private static TargetEndpoint toEndpoint(Member member) {
    return new TargetEndpoint(
        member.hostId(),
        member.ip(),
        member.inboundPort(),
        member.failureDomain(),
        member.service(),
        member.targetVersion(),
        member.weight(),
        false);
  }

  /**
   * Reads the seed rows while no other node is known; updates the row of its own failure domain if
   * this node maintains it.
   */
  private void refreshSeeds(MembershipState state, long nowMs) {
    if (nowMs < nextSeedsRefreshMs || seedsRefreshRunning) {
      return;
    }
    boolean isolated = !state.isJoined() || state.members().size() <= 1;
    long intervalMs =
        isolated ? Math.min(ISOLATED_SEEDS_INTERVAL_MS, seedsIntervalMs) : seedsIntervalMs;
    nextSeedsRefreshMs = nowMs + intervalMs / 2 + random.nextLong(intervalMs);
    Uni<Void> refresh = isolated ? readSeeds() : Uni.createFrom().voidItem();
    if (seedRow.isMaintainer(state)) {
      refresh = refresh.chain(() -> seedRow.update(state));
    }
    seedsRefreshRunning = true;
    // The platform may be unavailable for long; the known seeds are used until it answers.
    refresh
        .subscribe()
        .with(
            ignored -> runOnContext((active, now) -> seedsRefreshRunning = false),
            error -> {
              LOG.debug("Failed to refresh the seed rows", error);
              runOnContext((active, now) -> seedsRefreshRunning = false);
            });
  }

  private Uni<Void> readSeeds() {
    return seedRow
        .readAll()
        .invoke(
            addresses -> {
              Set<NodeAddress> all = new LinkedHashSet<>(configuredSeeds);
              all.addAll(addresses);
              runOnContext((active, now) -> active.state().setSeeds(List.copyOf(all)));
            })
        .replaceWithVoid();
  }

  private <T> T readState(Function<MembershipState, T> reader, Supplier<T> fallback) {
    RunningState active = runningState;
    return active == null ? fallback.get() : reader.apply(active.state());
  }

  /**
   * Registers a listener for membership events. A lease holder must check its lease in the table
   * after {@link MembershipEvent#CATCH_UP_REQUIRED}.
   */
  public void addEventListener(Consumer<MembershipEvent> listener) {
    eventListeners.add(listener);
  }

  /** Returns whether the whole state of another node has been received since the start. */
  public boolean isJoined() {
    return readState(MembershipState::isJoined, () -> false);
  }

  @Override
  public List<TargetEndpoint> targets(String service) {
    return targets.getOrDefault(service, List.of());
  }

  @Override
  public Member self() {
    return readState(MembershipState::self, initialSelf);
  }

  @Override
  public List<Member> domainMembers(String failureDomain) {
    return readState(state -> state.domainMembers(failureDomain), List::of);
  }

  @Override
  public List<Member> members() {
    return readState(MembershipState::members, List::of);
  }

  @Override
  public boolean publish(GossipEntry entry) {
    synchronized (startLock) {
      if (runningState == null) {
        return pendingEntries.add(entry);
      }
    }
    return readState(state -> state.publish(entry), () -> false);
  }

  @Override
  public Optional<GossipEntry> get(String key) {
    return readState(state -> state.get(key), Optional::empty);
  }

  @Override
  public List<GossipEntry> list(String prefix) {
    return readState(state -> state.list(prefix), List::of);
  }

  @Override
  public void addListener(Consumer<GossipEntry> listener) {
    synchronized (startLock) {
      RunningState active = runningState;
      if (active == null) {
        pendingListeners.add(listener);
      } else {
        active.state().addListener(listener);
      }
    }
  }
}
