package org.acaciapond.membership.virtual;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.ToIntFunction;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.MemberState;
import org.acaciapond.membership.MembershipAction;
import org.acaciapond.membership.MembershipEvent;
import org.acaciapond.membership.MembershipPacket;
import org.acaciapond.membership.MembershipSettings;
import org.acaciapond.membership.MembershipState;
import org.acaciapond.membership.NodeAddress;

/**
 * Simulated fleet of membership state machines, connected by an in-memory queue in virtual time.
 */
public final class VirtualFleet {

  /** Delay after which a resumed node has caught up with the configuration. */
  private static final long CATCH_UP_DELAY_MS = 200;

  private static final long DRAIN_DELAY_MS = 3_000;
  private static final int MIN_LATENCY_MS = 1;
  private static final int LATENCY_SPREAD_MS = 2;
  private static final int HOSTS_PER_NETWORK = 250;
  private static final int PEER_PORT = 7_000;
  private static final int INBOUND_PORT = 7_001;

  private final Map<NodeAddress, VirtualNode> byAddress = new LinkedHashMap<>();
  private final Map<String, VirtualNode> byHostId = new LinkedHashMap<>();
  private final PriorityQueue<Event> queue =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::number));
  private final LinkFaults faults = new LinkFaults();
  private final List<NodeAddress> seeds = new ArrayList<>();
  private final MembershipSettings settings;
  private final ToIntFunction<MembershipPacket> sizeOf;
  private final SplittableRandom random;
  private long nowMs;
  private long nextEventNumber;
  private int largestPacketBytes;

  private record Event(long atMs, long number, Runnable action) {}

  /**
   * Creates an empty fleet.
   *
   * @param settings protocol settings of all nodes
   * @param seed seed of the random number generator
   * @param sizeOf function that returns the bytes of a packet on the wire
   */
  public VirtualFleet(
      MembershipSettings settings, long seed, ToIntFunction<MembershipPacket> sizeOf) {
    this.settings = settings;
    this.random = new SplittableRandom(seed);
    this.sizeOf = sizeOf;
  }

  /** Adds a running node; the first three nodes of each failure domain are seeds. */
  public VirtualNode add(String failureDomain, String service) {
    int number = byHostId.size();
    String ip = "10.0." + number / HOSTS_PER_NETWORK + "." + number % HOSTS_PER_NETWORK;
    Member template =
        new Member(
            "host-" + number,
            1,
            ip,
            PEER_PORT,
            INBOUND_PORT,
            failureDomain,
            "region",
            service,
            "v1",
            1,
            MemberState.ALIVE);
    long inDomain =
        byHostId.values().stream().filter(n -> n.failureDomain().equals(failureDomain)).count();
    if (inDomain < 3) {
      seeds.add(NodeAddress.of(template));
      byHostId.values().forEach(node -> node.state.setSeeds(seeds));
    }
    VirtualNode node = new VirtualNode(template, newState(template, 0));
    byAddress.put(node.address, node);
    byHostId.put(node.hostId(), node);
    scheduleTick(node, random.nextLong(MembershipState.TICK_INTERVAL_MS));
    return node;
  }

  private MembershipState newState(Member template, int generation) {
    Member self =
        new Member(
            template.hostId(),
            1 + nowMs + generation,
            template.ip(),
            template.peerPort(),
            template.inboundPort(),
            template.failureDomain(),
            template.region(),
            template.service(),
            template.targetVersion(),
            template.weight(),
            MemberState.ALIVE);
    return new MembershipState(settings, self, seeds, random.split(), nowMs);
  }

  private void scheduleTick(VirtualNode node, long delayMs) {
    int generation = node.generation;
    schedule(
        delayMs,
        () -> {
          if (!node.running || node.generation != generation) {
            return;
          }
          if (!node.paused) {
            execute(node, node.state.tick(nowMs));
          }
          scheduleTick(node, MembershipState.TICK_INTERVAL_MS);
        });
  }

  /** Schedules an action in virtual time. */
  public void schedule(long delayMs, Runnable action) {
    queue.add(new Event(nowMs + delayMs, nextEventNumber++, action));
  }

  /** Advances the virtual time and runs the events that are due. */
  public void run(long durationMs) {
    long endMs = nowMs + durationMs;
    while (!queue.isEmpty() && queue.peek().atMs() <= endMs) {
      Event event = queue.remove();
      nowMs = event.atMs();
      event.action().run();
    }
    nowMs = endMs;
  }

  /**
   * Advances the virtual time until a condition holds; returns the elapsed milliseconds, or -1 if
   * the limit was reached first.
   */
  public long runUntil(BooleanSupplier condition, long limitMs) {
    long startMs = nowMs;
    while (nowMs - startMs <= limitMs) {
      if (condition.getAsBoolean()) {
        return nowMs - startMs;
      }
      run(MembershipState.TICK_INTERVAL_MS);
    }
    return -1;
  }

  private void execute(VirtualNode node, List<MembershipAction> actions) {
    for (MembershipAction action : actions) {
      if (action instanceof MembershipAction.Send send) {
        transmit(node, send);
      } else if (action instanceof MembershipAction.Notify notify
          && notify.event() == MembershipEvent.CATCH_UP_REQUIRED) {
        MembershipState state = node.state;
        schedule(CATCH_UP_DELAY_MS, state::completeCatchUp);
      }
    }
  }

  private void transmit(VirtualNode from, MembershipAction.Send send) {
    int bytes = sizeOf.applyAsInt(send.packet());
    largestPacketBytes = Math.max(largestPacketBytes, bytes);
    from.sentBytes += bytes;
    from.sentMessages++;
    VirtualNode to = byAddress.get(send.to());
    if (to == null || random.nextDouble() < faults.lossShare()) {
      return;
    }
    scheduleDelivery(from, to, send.packet());
    if (random.nextDouble() < faults.duplicateShare()) {
      scheduleDelivery(from, to, send.packet());
    }
  }

  private void scheduleDelivery(VirtualNode from, VirtualNode to, MembershipPacket packet) {
    long delayMs =
        MIN_LATENCY_MS
            + random.nextInt(LATENCY_SPREAD_MS)
            + random.nextInt(faults.extraDelayMs() + 1);
    schedule(
        delayMs,
        () -> {
          if (!faults.isCut(from.group(), to.group())) {
            deliver(to, packet);
          }
        });
  }

  private void deliver(VirtualNode to, MembershipPacket packet) {
    if (!to.running) {
      return;
    }
    if (to.paused) {
      to.pendingDeliveries.add(() -> deliver(to, packet));
      return;
    }
    execute(to, to.state.onMessage(nowMs, packet.sender(), packet));
  }

  /** Stops the process of a node without an announcement. */
  public void crash(VirtualNode node) {
    node.running = false;
    node.paused = false;
    node.pendingDeliveries.clear();
  }

  /** Restarts the process of a node without its earlier state. */
  public void restart(VirtualNode node) {
    node.running = true;
    node.generation++;
    node.state = newState(node.template, node.generation);
    scheduleTick(node, random.nextLong(MembershipState.TICK_INTERVAL_MS));
  }

  /** Pauses the process of a node; messages that arrive meanwhile are delivered afterwards. */
  public void pause(VirtualNode node, long durationMs) {
    node.paused = true;
    schedule(
        durationMs,
        () -> {
          node.paused = false;
          List<Runnable> deliveries = List.copyOf(node.pendingDeliveries);
          node.pendingDeliveries.clear();
          deliveries.forEach(Runnable::run);
        });
  }

  /** Makes a node leave: it announces LEAVING, drains, announces LEFT and stops. */
  public void leave(VirtualNode node) {
    execute(node, node.state.announceLeaving(nowMs));
    int generation = node.generation;
    schedule(
        DRAIN_DELAY_MS,
        () -> {
          if (node.running && node.generation == generation) {
            execute(node, node.state.announceLeft(nowMs));
            node.running = false;
          }
        });
  }

  /** Returns the running nodes. */
  public List<VirtualNode> running() {
    return byHostId.values().stream().filter(VirtualNode::isRunning).toList();
  }

  /** Returns all nodes. */
  public Collection<VirtualNode> nodes() {
    return byHostId.values();
  }

  /** Returns the faults of the links. */
  public LinkFaults faults() {
    return faults;
  }

  /** Returns the virtual time. */
  public long nowMs() {
    return nowMs;
  }

  /** Returns the size of the largest packet sent. */
  public int largestPacketBytes() {
    return largestPacketBytes;
  }

  /**
   * Returns whether each running node sees exactly the running nodes with their current records.
   */
  public boolean hasConverged() {
    List<VirtualNode> running = running();
    for (VirtualNode observer : running) {
      if (observer.state.members().size() != running.size()) {
        return false;
      }
      for (VirtualNode node : running) {
        Member seen = observer.state.find(node.hostId());
        if (seen == null || !seen.equals(node.state.self())) {
          return false;
        }
      }
    }
    return true;
  }
}
