package org.acaciapond.membership.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.MemberState;

/** Decision when a member that does not answer is taken to have failed. */
public final class Suspicions {

  private final Exchange exchange;
  private final Set<String> suspects = new LinkedHashSet<>();
  private final Map<String, Long> silentLeavers = new HashMap<>();

  /** Creates the decision. */
  public Suspicions(Exchange exchange) {
    this.exchange = exchange;
  }

  /** Notes the new record of a member. */
  public void onRecord(Member member) {
    if (member.state() == MemberState.SUSPECT) {
      suspects.add(member.hostId());
    } else {
      suspects.remove(member.hostId());
    }
  }

  /** Notes a message of a member, which ends the silence of one that is leaving. */
  public void onHeard(String hostId) {
    silentLeavers.remove(hostId);
  }

  /**
   * Notes a member that did not answer. One that is leaving keeps its state, since a suspected
   * member may be given work, and is taken for dead after the same time.
   */
  public void onSilentLeaver(String hostId) {
    silentLeavers.putIfAbsent(hostId, exchange.nowMs());
  }

  /**
   * Returns a record in the form in which it may be taken. News of a death counts as a suspicion
   * until the member had half of the suspicion time to contradict: when a divided domain heals,
   * each side still holds the members of the other side for dead.
   */
  public Member admissible(Member news) {
    MemberEntry held = exchange.table.get(news.hostId());
    if (news.state() != MemberState.DEAD || held == null) {
      return news;
    }
    MemberState state = held.member().state();
    boolean alive = state == MemberState.ALIVE;
    boolean newlySuspected =
        state == MemberState.SUSPECT
            && exchange.nowMs() - held.changedAtMs() < exchange.settings.suspicionMs() / 2;
    return alive || newlySuspected ? withState(news, MemberState.SUSPECT) : news;
  }

  /** Returns the records of the members whose time to contradict is over, as dead. */
  public List<Member> expired() {
    List<Member> dead = new ArrayList<>();
    long limitMs = exchange.nowMs() - exchange.settings.suspicionMs();
    for (String hostId : suspects) {
      MemberEntry entry = exchange.table.get(hostId);
      if (entry != null && entry.changedAtMs() <= limitMs) {
        dead.add(withState(entry.member(), MemberState.DEAD));
      }
    }
    for (Map.Entry<String, Long> silent : silentLeavers.entrySet()) {
      MemberEntry entry = exchange.table.get(silent.getKey());
      if (entry != null && !entry.isTombstone() && silent.getValue() <= limitMs) {
        dead.add(withState(entry.member(), MemberState.DEAD));
      }
    }
    dead.forEach(member -> silentLeavers.remove(member.hostId()));
    return dead;
  }

  /** Moves all times forward by a pause of this process. */
  public void shift(long byMs) {
    for (String hostId : suspects) {
      MemberEntry entry = exchange.table.get(hostId);
      if (entry != null) {
        entry.shiftTime(byMs);
      }
    }
    silentLeavers.clear();
  }

  /** Returns a record with another state. */
  public static Member withState(Member member, MemberState state) {
    return new Member(
        member.hostId(),
        member.incarnation(),
        member.ip(),
        member.peerPort(),
        member.inboundPort(),
        member.failureDomain(),
        member.region(),
        member.service(),
        member.targetVersion(),
        member.weight(),
        state);
  }
}
