package org.acaciapond.membership.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.MemberState;
import org.acaciapond.membership.MembershipBody;
import org.jspecify.annotations.Nullable;

/** Records of all members with the order in which newer records replace older ones. */
public final class MemberTable {

  /** Limit of the records, more than twice the 7,700 members of the planned fleet. */
  public static final int MAX_RECORDS = 20_000;

  private final Map<String, MemberEntry> byHostId = new HashMap<>();
  private final Map<String, List<MemberEntry>> liveByDomain = new HashMap<>();
  private final List<List<MemberEntry>> buckets = new ArrayList<>();
  private final int[] digests = new int[MembershipBody.BUCKETS];
  private final Map<String, String> sharedStrings = new HashMap<>();
  private int liveCount;

  /** Creates an empty table. */
  public MemberTable() {
    for (int i = 0; i < MembershipBody.BUCKETS; i++) {
      buckets.add(new ArrayList<>(0));
    }
  }

  /** Result of offering a record. */
  public enum Offer {
    /** The record was taken. */
    TAKEN,
    /** An equal record is held. */
    SAME,
    /** A newer record is held. */
    STALE,
    /** The table is full. */
    FULL
  }

  /** Takes a record if it is newer than the one held. */
  public Offer offer(Member member, long nowMs) {
    MemberEntry held = byHostId.get(member.hostId());
    if (held == null) {
      return add(member, nowMs);
    }
    int order = compare(member, held.member());
    if (order <= 0) {
      return order == 0 ? Offer.SAME : Offer.STALE;
    }
    unlink(held);
    held.replace(share(member), nowMs);
    link(held);
    return Offer.TAKEN;
  }

  private Offer add(Member member, long nowMs) {
    if (byHostId.size() >= MAX_RECORDS) {
      return Offer.FULL;
    }
    MemberEntry entry = new MemberEntry(ItemHash.ofMember(member.hostId()), share(member), nowMs);
    byHostId.put(member.hostId(), entry);
    link(entry);
    return Offer.TAKEN;
  }

  /** Compares two records of the same host; a positive result means that the first is newer. */
  static int compare(Member first, Member second) {
    int order = Long.compare(first.incarnation(), second.incarnation());
    return order != 0 ? order : Integer.compare(rank(first.state()), rank(second.state()));
  }

  /**
   * Returns the rank of a state within one incarnation. LEAVING ranks above SUSPECT, since a
   * suspected member may still be given work.
   */
  private static int rank(MemberState state) {
    return switch (state) {
      case ALIVE -> 0;
      case SUSPECT -> 1;
      case LEAVING -> 2;
      case DEAD -> 3;
      case LEFT -> 4;
    };
  }

  private void link(MemberEntry entry) {
    if (entry.isTombstone()) {
      return;
    }
    Member member = entry.member();
    List<MemberEntry> live =
        liveByDomain.computeIfAbsent(member.failureDomain(), domain -> new ArrayList<>());
    entry.domainIndex = live.size();
    live.add(entry);
    liveCount++;
    int bucket = ItemHash.bucket(entry.id);
    buckets.get(bucket).add(entry);
    digests[bucket] += ItemHash.version(entry.id, member);
  }

  private void unlink(MemberEntry entry) {
    if (entry.isTombstone()) {
      return;
    }
    Member member = entry.member();
    List<MemberEntry> live = live(member.failureDomain());
    MemberEntry last = live.remove(live.size() - 1);
    if (last != entry) {
      live.set(entry.domainIndex, last);
      last.domainIndex = entry.domainIndex;
    }
    if (live.isEmpty()) {
      liveByDomain.remove(member.failureDomain());
    }
    liveCount--;
    int bucket = ItemHash.bucket(entry.id);
    buckets.get(bucket).remove(entry);
    digests[bucket] -= ItemHash.version(entry.id, member);
  }

  /** Removes a record. */
  public void remove(MemberEntry entry) {
    unlink(entry);
    byHostId.remove(entry.member().hostId());
  }

  /** Returns the entry of a host. */
  public @Nullable MemberEntry get(String hostId) {
    return byHostId.get(hostId);
  }

  /** Returns all entries, tombstones among them. */
  public Collection<MemberEntry> entries() {
    return byHostId.values();
  }

  /** Returns the entries of a failure domain that neither left nor died. */
  public List<MemberEntry> live(String failureDomain) {
    return liveByDomain.getOrDefault(failureDomain, List.of());
  }

  /** Returns the failure domains that have members. */
  public Collection<String> domains() {
    return liveByDomain.keySet();
  }

  /** Returns the number of members that neither left nor died. */
  public int liveCount() {
    return liveCount;
  }

  /** Returns the members of a bucket. */
  public List<MemberEntry> bucket(int number) {
    return buckets.get(number);
  }

  /** Returns the digest of a bucket. */
  public int digest(int bucket) {
    return digests[bucket];
  }

  /** Returns a member of a failure domain other than one host, or null when there is none. */
  public @Nullable MemberEntry randomInDomain(
      String failureDomain, String exceptHostId, RandomGenerator random) {
    List<MemberEntry> live = live(failureDomain);
    if (live.isEmpty()) {
      return null;
    }
    int index = random.nextInt(live.size());
    if (live.get(index).member().hostId().equals(exceptHostId)) {
      index = (index + 1) % live.size();
    }
    MemberEntry chosen = live.get(index);
    return chosen.member().hostId().equals(exceptHostId) ? null : chosen;
  }

  /** Returns a member of a random other failure domain, or null when there is none. */
  public @Nullable MemberEntry randomOutside(String failureDomain, RandomGenerator random) {
    List<String> others =
        liveByDomain.keySet().stream().filter(d -> !d.equals(failureDomain)).sorted().toList();
    if (others.isEmpty()) {
      return null;
    }
    List<MemberEntry> live = live(others.get(random.nextInt(others.size())));
    return live.get(random.nextInt(live.size()));
  }

  /** Returns the record with strings that many records repeat held once. */
  private Member share(Member member) {
    return new Member(
        member.hostId(),
        member.incarnation(),
        member.ip(),
        member.peerPort(),
        member.inboundPort(),
        share(member.failureDomain()),
        share(member.region()),
        share(member.service()),
        share(member.targetVersion()),
        member.weight(),
        member.state());
  }

  private String share(String text) {
    if (sharedStrings.size() > MAX_RECORDS) {
      sharedStrings.clear();
    }
    String known = sharedStrings.putIfAbsent(text, text);
    return known == null ? text : known;
  }
}
