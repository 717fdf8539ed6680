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

/** Table of the records of all members; a record is replaced only by a newer one. */
public final class MemberTable {

  /** Limit of the records; more than twice the 7,700 members of the planned fleet. */
  public static final int MAX_RECORDS = 20_000;

  private final Map<String, MemberEntry> byHostId = new HashMap<>();
  private final Map<String, List<MemberEntry>> liveByDomain = new HashMap<>();
  private final List<List<MemberEntry>> buckets = new ArrayList<>();
  private final int[] digests = new int[MembershipBody.BUCKETS];
  private final Map<String, String> internedStrings = new HashMap<>();
  private int liveCount;

  /** Creates an empty table. */
  public MemberTable() {
    for (int i = 0; i < MembershipBody.BUCKETS; i++) {
      buckets.add(new ArrayList<>(0));
    }
  }

  /** Result of merging a record. */
  public enum MergeResult {
    /** The record was added or replaced an older one. */
    APPLIED,
    /** The table has a record of the same incarnation and state. */
    UNCHANGED,
    /** The table has a newer record. */
    STALE,
    /** The record was not accepted, for instance because the table is full. */
    REJECTED
  }

  /** Stores a record if it is newer than the current one of the same host. */
  public MergeResult merge(Member member, long nowMs) {
    MemberEntry current = byHostId.get(member.hostId());
    if (current == null) {
      return add(member, nowMs);
    }
    int order = compare(member, current.member());
    if (order <= 0) {
      return order == 0 ? MergeResult.UNCHANGED : MergeResult.STALE;
    }
    removeFromIndexes(current);
    current.replace(intern(member), nowMs);
    addToIndexes(current);
    return MergeResult.APPLIED;
  }

  private MergeResult add(Member member, long nowMs) {
    if (byHostId.size() >= MAX_RECORDS) {
      return MergeResult.REJECTED;
    }
    MemberEntry entry = new MemberEntry(ItemHash.ofMember(member.hostId()), intern(member), nowMs);
    byHostId.put(member.hostId(), entry);
    addToIndexes(entry);
    return MergeResult.APPLIED;
  }

  /** Compares two records of the same host; a positive result means that the first is newer. */
  static int compare(Member first, Member second) {
    int order = Long.compare(first.incarnation(), second.incarnation());
    return order != 0
        ? order
        : Integer.compare(precedence(first.state()), precedence(second.state()));
  }

  /**
   * Returns the precedence of a state within one incarnation. LEAVING takes precedence over
   * SUSPECT, since a suspected member may still be given work.
   */
  private static int precedence(MemberState state) {
    return switch (state) {
      case ALIVE -> 0;
      case SUSPECT -> 1;
      case LEAVING -> 2;
      case DEAD -> 3;
      case LEFT -> 4;
    };
  }

  private void addToIndexes(MemberEntry entry) {
    if (entry.isTombstone()) {
      return;
    }
    Member member = entry.member();
    List<MemberEntry> live =
        liveByDomain.computeIfAbsent(member.failureDomain(), domain -> new ArrayList<>());
    entry.indexInDomain = live.size();
    live.add(entry);
    liveCount++;
    int bucket = ItemHash.bucket(entry.id);
    buckets.get(bucket).add(entry);
    digests[bucket] += ItemHash.version(entry.id, member);
  }

  private void removeFromIndexes(MemberEntry entry) {
    if (entry.isTombstone()) {
      return;
    }
    Member member = entry.member();
    List<MemberEntry> live = liveMembers(member.failureDomain());
    MemberEntry last = live.remove(live.size() - 1);
    if (last != entry) {
      live.set(entry.indexInDomain, last);
      last.indexInDomain = entry.indexInDomain;
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
    removeFromIndexes(entry);
    byHostId.remove(entry.member().hostId());
  }

  /** Returns the entry of a host, or null if there is none. */
  public @Nullable MemberEntry get(String hostId) {
    return byHostId.get(hostId);
  }

  /** Returns all entries, including tombstones. */
  public Collection<MemberEntry> entries() {
    return byHostId.values();
  }

  /** Returns the entries of a failure domain without tombstones. */
  public List<MemberEntry> liveMembers(String failureDomain) {
    return liveByDomain.getOrDefault(failureDomain, List.of());
  }

  /** Returns the failure domains that have live members. */
  public Collection<String> domains() {
    return liveByDomain.keySet();
  }

  /** Returns the number of entries without tombstones. */
  public int liveCount() {
    return liveCount;
  }

  /** Returns the entries of a bucket, without tombstones. */
  public List<MemberEntry> bucket(int index) {
    return buckets.get(index);
  }

  /** Returns the digest of a bucket. */
  public int digest(int bucket) {
    return digests[bucket];
  }

  /** Returns a random member of a failure domain other than one host, or null if there is none. */
  public @Nullable MemberEntry randomInDomain(
      String failureDomain, String exceptHostId, RandomGenerator random) {
    List<MemberEntry> live = liveMembers(failureDomain);
    if (live.isEmpty()) {
      return null;
    }
    int index = random.nextInt(live.size());
    if (live.get(index).member().hostId().equals(exceptHostId)) {
      index = (index + 1) % live.size();
    }
    MemberEntry selected = live.get(index);
    return selected.member().hostId().equals(exceptHostId) ? null : selected;
  }

  /** Returns a random member of a random other failure domain, or null if there is none. */
  public @Nullable MemberEntry randomOutside(String failureDomain, RandomGenerator random) {
    List<String> others =
        liveByDomain.keySet().stream().filter(d -> !d.equals(failureDomain)).sorted().toList();
    if (others.isEmpty()) {
      return null;
    }
    List<MemberEntry> live = liveMembers(others.get(random.nextInt(others.size())));
    return live.get(random.nextInt(live.size()));
  }

  /** Returns a copy of a record that shares its repeated strings with other records. */
  private Member intern(Member member) {
    return new Member(
        member.hostId(),
        member.incarnation(),
        member.ip(),
        member.peerPort(),
        member.inboundPort(),
        intern(member.failureDomain()),
        intern(member.region()),
        intern(member.service()),
        intern(member.targetVersion()),
        member.weight(),
        member.state());
  }

  private String intern(String text) {
    if (internedStrings.size() > MAX_RECORDS) {
      internedStrings.clear();
    }
    String interned = internedStrings.putIfAbsent(text, text);
    return interned == null ? text : interned;
  }
}
