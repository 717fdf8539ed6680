package org.acaciapond.node.rollout;

import org.acaciapond.common.time.TimeSource;
import org.acaciapond.membership.GossipStore;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.MembershipView;
import org.acaciapond.node.rollout.RolloutGossip.RecordedRow;
import org.acaciapond.rollout.state.RolloutInvariants;
import org.acaciapond.rollout.state.TakenBackVersion;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * What the moves of one service are decided from and announced to.
 *
 * @param service service that is moved
 * @param time clock
 * @param members members of all failure domains
 * @param book grants and facts that this node knows
 * @param gossip carries grants and facts
 * @param invariants checks of every step
 * @param table row and lease in the platform's table
 */
record RolloutContext(
    String service,
    TimeSource time,
    MembershipView members,
    RolloutRegistry book,
    GossipStore gossip,
    RolloutInvariants invariants,
    RolloutTable table) {

  private static final Logger LOG = LogManager.getLogger(RolloutContext.class);

  /** Returns the number of targets of a version that take work. */
  int countTargets(String version) {
    int count = 0;
    for (Member member : members.members()) {
      if (member.service().equals(service)
          && member.targetVersion().equals(version)
          && member.state().acceptsWork()) {
        count++;
      }
    }
    return count;
  }

  boolean isTakenBack(String version) {
    return book.takenBack(service).contains(version);
  }

  /** Spreads a row that is recorded at the table. */
  void announce(RecordedRow recorded) {
    gossip.publish(RolloutGossip.grantEntry(recorded));
  }

  /** Spreads a fact and records it; the pollers record it later when the table is out of reach. */
  void takeBack(TakenBackVersion fact, String reason) {
    String key = RolloutGossip.factKey(fact);
    byte[] value =
        RolloutGossip.encodeFact("judge " + members.self().hostId(), time.now().toString(), reason);
    if (gossip.publish(RolloutGossip.factEntry(key, value))) {
      LOG.warn("Taking back version {} of {}: {}", fact.version(), service, reason);
      table.writeFact(key, value);
    }
  }
}
