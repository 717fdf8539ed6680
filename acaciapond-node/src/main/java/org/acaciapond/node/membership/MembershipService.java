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

/** Service that runs the membership of this node over its connections. */
public final class MembershipService
    implements ManagedService, MembershipView, GossipStore, TargetDirectory {

  private static final Logger LOG = LogManager.getLogger(MembershipService.class);

  /** Time in which answers of other nodes bring the newest head after a pause. */
  private static final long MIN_CATCH_UP_MS = 2_000;

  /** Delay before connections are closed, so that the last message is written. */
  private static final Duration FLUSH_DELAY = Duration.ofMillis(100);

  private static final long FIRST_SEEDS_SPREAD_MS = 2_000;
  private static final long ALONE_SEEDS_INTERVAL_MS = 5_000;

  private final Vertx vertx;
  private final TimeSource time;
  private final PeerTransport transport;
  private final Supplier<Member> initialSelf;
  private final LocalTarget localTarget;
  private final String ownService;
  private final List<NodeAddress> configuredSeeds;
  private final SeedRow seedRow;
  private final BooleanSupplier caughtUp;
  private final long seedsIntervalMs;
  private final long drainDelayMs;
  private final SplittableRandom random;
  private final Object startLock = new Object();
  private final List<Consumer<GossipEntry>> earlyListeners = new ArrayList<>();
  private final List<Consumer<MembershipEvent>> eventListeners = new CopyOnWriteArrayList<>();
  private final List<GossipEntry> earlyEntries = new ArrayList<>();
  private volatile @Nullable Running running;
  private volatile Map<String, List<TargetEndpoint>> targets = Map.of();
  private LocalTarget.@Nullable Announcement announced;
  private long targetsViewNumber = -1;
  private long nextSeedsMs;
  private boolean readingSeeds;
  private long catchUpFromMs;
  private long timerId = -1;
  private boolean stopping;

  private record Running(Context context, MembershipState state, PeerLinks links) {}

  /**
   * Creates a service.
   *
   * @param vertx timers to use
   * @param time clock
   * @param transport connections to other nodes
   * @param initialSelf returns the record of this node once its ports are known
   * @param localTarget announcements of the own target
   * @param ownService service of the own target
   * @param seeds nodes to contact first
   * @param platform access to the row of seeds
   * @param caughtUp returns whether this node holds the newest configuration that it heard of
   * @param seedsIntervalMs interval between checks of the row of seeds
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
      BooleanSupplier caughtUp,
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
    this.caughtUp = caughtUp;
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
      earlyListeners.forEach(state::addListener);
      earlyEntries.forEach(state::publish);
      running = new Running(context, state, links);
    }
    nextSeedsMs = nowMs() + random.nextLong(FIRST_SEEDS_SPREAD_MS);
    timerId =
        vertx.setPeriodic(
            MembershipState.TICK_INTERVAL_MS, id -> onContext((run, now) -> tick(run, now)));
    return Uni.createFrom().voidItem();
  }

  @Override
  public Uni<Void> stop() {
    Running run = running;
    if (run == null || stopping) {
      return Uni.createFrom().voidItem();
    }
    stopping = true;
    onContext((r, now) -> carryOut(r, r.state().leave(now), now));
    return delay(Duration.ofMillis(drainDelayMs))
        .invoke(() -> onContext((r, now) -> carryOut(r, r.state().left(now), now)))
        .chain(() -> delay(FLUSH_DELAY))
        .invoke(() -> vertx.cancelTimer(timerId));
  }

  private Uni<Void> delay(Duration delay) {
    return Uni.createFrom()
        .emitter(
            emitter -> vertx.setTimer(Math.max(1, delay.toMillis()), id -> emitter.complete(null)));
  }

  private interface Step {

    void run(Running running, long nowMs);
  }

  /** Runs a step on the context of the state, which no two steps enter at the same time. */
  private void onContext(Step step) {
    Running run = running;
    if (run != null) {
      run.context().runOnContext(ignored -> step.run(run, nowMs()));
    }
  }

  private long nowMs() {
    return time.nanoTime() / 1_000_000;
  }

  private void tick(Running run, long nowMs) {
    MembershipState state = run.state();
    announceTarget(state);
    if (state.isCatchingUp()
        && nowMs - catchUpFromMs >= MIN_CATCH_UP_MS
        && caughtUp.getAsBoolean()) {
      state.caughtUp();
    }
    carryOut(run, state.tick(nowMs), nowMs);
    run.links().closeUnused(nowMs);
    refreshTargets(state);
    refreshSeeds(state, nowMs);
  }

  private void announceTarget(MembershipState state) {
    LocalTarget.Announcement next = localTarget.announcement();
    if (next == null || next.equals(announced)) {
      return;
    }
    announced = next;
    state.updateTarget(ownService, next.version(), next.weight(), next.leaving());
  }

  private void carryOut(Running run, List<MembershipAction> actions, long nowMs) {
    for (MembershipAction action : actions) {
      if (action instanceof MembershipAction.Send send) {
        run.links().send(send.to(), send.packet(), nowMs);
      } else if (action instanceof MembershipAction.Notify notify) {
        LOG.info("Membership: {}", notify.event());
        eventListeners.forEach(listener -> listener.accept(notify.event()));
        if (notify.event() == MembershipEvent.CATCH_UP_REQUIRED) {
          catchUpFromMs = nowMs;
        }
      }
    }
  }

  /** Receives a message of another node; messages of other protocols are ignored. */
  public void onMessage(PeerConnection connection, Message message) {
    if (message instanceof MembershipMessage membership) {
      onContext(
          (run, now) -> {
            NodeAddress from = membership.packet().sender();
            run.links().noteAccepted(from, connection, now);
            carryOut(run, run.state().onMessage(now, from, membership.packet()), now);
          });
    }
  }

  private void refreshTargets(MembershipState state) {
    if (state.viewNumber() == targetsViewNumber) {
      return;
    }
    targetsViewNumber = state.viewNumber();
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

  /** Reads the seeds while no other node is known, and keeps them fresh when that is its task. */
  private void refreshSeeds(MembershipState state, long nowMs) {
    if (nowMs < nextSeedsMs || readingSeeds) {
      return;
    }
    boolean alone = !state.isJoined() || state.members().size() <= 1;
    long intervalMs = alone ? Math.min(ALONE_SEEDS_INTERVAL_MS, seedsIntervalMs) : seedsIntervalMs;
    nextSeedsMs = nowMs + intervalMs / 2 + random.nextLong(intervalMs);
    Uni<Void> work = alone ? readSeeds() : Uni.createFrom().voidItem();
    if (seedRow.isMaintainer(state)) {
      work = work.chain(() -> seedRow.refresh(state));
    }
    readingSeeds = true;
    // The platform may be down for long; the seeds at hand are used until it answers.
    work.subscribe()
        .with(
            ignored -> onContext((run, now) -> readingSeeds = false),
            error -> {
              LOG.debug("Cannot refresh the seeds", error);
              onContext((run, now) -> readingSeeds = false);
            });
  }

  private Uni<Void> readSeeds() {
    return seedRow
        .readAll()
        .invoke(
            read -> {
              Set<NodeAddress> all = new LinkedHashSet<>(configuredSeeds);
              all.addAll(read);
              onContext((run, now) -> run.state().setSeeds(List.copyOf(all)));
            })
        .replaceWithVoid();
  }

  private <T> T fromState(Function<MembershipState, T> read, Supplier<T> before) {
    Running run = running;
    return run == null ? before.get() : read.apply(run.state());
  }

  /**
   * Registers a listener of changes of the own standing. A holder of a lease must check it at the
   * table after {@link MembershipEvent#CATCH_UP_REQUIRED}.
   */
  public void addEventListener(Consumer<MembershipEvent> listener) {
    eventListeners.add(listener);
  }

  /** Returns whether the state of another node was received since the start. */
  public boolean isJoined() {
    return fromState(MembershipState::isJoined, () -> false);
  }

  @Override
  public List<TargetEndpoint> targets(String service) {
    return targets.getOrDefault(service, List.of());
  }

  @Override
  public Member self() {
    return fromState(MembershipState::self, initialSelf);
  }

  @Override
  public List<Member> domainMembers(String failureDomain) {
    return fromState(state -> state.domainMembers(failureDomain), List::of);
  }

  @Override
  public List<Member> members() {
    return fromState(MembershipState::members, List::of);
  }

  @Override
  public boolean publish(GossipEntry entry) {
    synchronized (startLock) {
      if (running == null) {
        return earlyEntries.add(entry);
      }
    }
    return fromState(state -> state.publish(entry), () -> false);
  }

  @Override
  public Optional<GossipEntry> get(String key) {
    return fromState(state -> state.get(key), Optional::empty);
  }

  @Override
  public List<GossipEntry> list(String prefix) {
    return fromState(state -> state.list(prefix), List::of);
  }

  @Override
  public void addListener(Consumer<GossipEntry> listener) {
    synchronized (startLock) {
      Running run = running;
      if (run == null) {
        earlyListeners.add(listener);
      } else {
        run.state().addListener(listener);
      }
    }
  }
}
