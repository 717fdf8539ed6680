package org.acaciapond.bench.membership;

import java.util.List;
import java.util.SplittableRandom;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.MemberState;
import org.acaciapond.membership.MembershipBody;
import org.acaciapond.membership.MembershipPacket;
import org.acaciapond.membership.MembershipSettings;
import org.acaciapond.membership.MembershipState;
import org.acaciapond.membership.NodeAddress;
import org.acaciapond.protocol.codec.CodecRegistry;
import org.acaciapond.protocol.codec.MembershipMessageCodec;
import org.acaciapond.protocol.message.MembershipMessage;

/** Measurement of the heap that the member records of a whole fleet occupy in one node. */
final class RecordHeap {

  private static final CodecRegistry CODECS =
      new CodecRegistry(List.of(new MembershipMessageCodec()));
  private static final int GC_RUNS = 4;
  private static final long GC_PAUSE_MS = 50;
  private static final int SERVICES = 520;
  private static final int DOMAINS = 6;

  private RecordHeap() {}

  /**
   * Returns the heap bytes of one membership state with the given number of members. It is measured
   * on a second state, so that classes and data loaded only once are not counted.
   */
  static long measure(int members) throws InterruptedException {
    MembershipState first = createState(members);
    long before = usedHeapBytes();
    MembershipState second = createState(members);
    long after = usedHeapBytes();
    if (first.members().size() != members || second.members().size() != members) {
      throw new IllegalStateException("not all members were added to the state");
    }
    return after - before;
  }

  private static MembershipState createState(int members) {
    MembershipState state =
        new MembershipState(
            MembershipSettings.DEFAULTS, member(0), List.of(), new SplittableRandom(1), 0);
    for (int i = 1; i < members; i++) {
      receive(state, member(i));
    }
    state.tick(MembershipState.TICK_INTERVAL_MS);
    return state;
  }

  /** Merges a record decoded from its wire format, so that it shares no strings with the sender. */
  private static void receive(MembershipState state, Member member) {
    MembershipPacket packet =
        new MembershipPacket(
            member.hostId(),
            member.incarnation(),
            NodeAddress.of(member),
            new MembershipBody.Updates(),
            List.of(member),
            List.of());
    byte[] payload = CODECS.encode(new MembershipMessage(packet));
    MembershipMessage decoded = (MembershipMessage) CODECS.decode(payload);
    state.onMessage(1, decoded.packet().sender(), decoded.packet());
  }

  private static Member member(int number) {
    return new Member(
        "host-" + number,
        1_700_000_000_000L + number,
        "10.0." + number / 250 + "." + number % 250,
        7_000,
        7_001,
        "domain-" + number % DOMAINS,
        "region",
        "service-" + number % SERVICES,
        "v1",
        1,
        MemberState.ALIVE);
  }

  private static long usedHeapBytes() throws InterruptedException {
    for (int i = 0; i < GC_RUNS; i++) {
      System.gc();
      Thread.sleep(GC_PAUSE_MS);
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}
