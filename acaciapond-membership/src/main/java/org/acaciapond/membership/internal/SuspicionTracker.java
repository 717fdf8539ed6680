package org.acaciapond.membership.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.MemberState;

/** Tracker of suspected members, which are declared failed when the suspicion timeout expires. */
public final class SuspicionTracker {

  private final GossipContext context;
  private final Set<String> suspects = new LinkedHashSet<>();
  private final Map<String, Long> unresponsiveSinceMs = new HashMap<>();

  /** Creates a tracker without suspected members. */
  public SuspicionTracker(GossipContext context) {
    this.context = context;
  }

  /** Updates the tracker with the new record of a member. */
  public void onRecord(Member member) {
    if (member.state() == MemberState.SUSPECT) {
      suspects.add(member.hostId());
    } else {
      suspects.remove(member.hostId());
    }
  }

  /** Clears the probe timeout of a leaving member that has sent a message. */
  public void onMessageFrom(String hostId) {
    unresponsiveSinceMs.remove(hostId);
  }

  /**
   * Records that a leaving member did not answer a probe. It keeps the state LEAVING, since a
   * suspected member may still be given work, and is declared dead after the same timeout.
   */
  public void onLeavingMemberTimeout(String hostId) {
    unresponsiveSinceMs.putIfAbsent(hostId, context.nowMs());
  }

  /**
   * Returns the record to merge: a report of a death counts as a suspicion until the member has had
   * half of the suspicion timeout to refute it, because when a network partition heals, each side
   * still has the members of the other side recorded as dead.
   */
  public Member applySuspicionPeriod(Member update) {
    MemberEntry current = context.table.get(update.hostId());
    if (update.state() != MemberState.DEAD || current == null) {
      return update;
    }
    MemberState state = current.member().state();
    boolean alive = state == MemberState.ALIVE;
    boolean newlySuspected =
        state == MemberState.SUSPECT
            && context.nowMs() - current.changedAtMs() < context.settings.suspicionTimeoutMs() / 2;
    return alive || newlySuspected ? withState(update, MemberState.SUSPECT) : update;
  }

  /**
   * Returns records with state DEAD for the members that did not refute their suspicion in time.
   */
  public List<Member> collectFailed() {
    List<Member> failed = new ArrayList<>();
    long latestStartMs = context.nowMs() - context.settings.suspicionTimeoutMs();
    for (String hostId : suspects) {
      MemberEntry entry = context.table.get(hostId);
      if (entry != null && entry.changedAtMs() <= latestStartMs) {
        failed.add(withState(entry.member(), MemberState.DEAD));
      }
    }
    for (Map.Entry<String, Long> leaving : unresponsiveSinceMs.entrySet()) {
      MemberEntry entry = context.table.get(leaving.getKey());
      if (entry != null && !entry.isTombstone() && leaving.getValue() <= latestStartMs) {
        failed.add(withState(entry.member(), MemberState.DEAD));
      }
    }
    failed.forEach(member -> unresponsiveSinceMs.remove(member.hostId()));
    return failed;
  }

  /** Moves the start of all suspicions forward by a pause of this process. */
  public void shiftTimes(long pauseMs) {
    for (String hostId : suspects) {
      MemberEntry entry = context.table.get(hostId);
      if (entry != null) {
        entry.shiftTime(pauseMs);
      }
    }
    unresponsiveSinceMs.clear();
  }

  /** Returns a copy of a record with another state. */
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
