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
 * State and services that the rollouts of one service share.
 *
 * @param service name of the service
 * @param time clock
 * @param members members of all failure domains
 * @param registry grants and taken-back versions that this node knows
 * @param gossip distributes grants and taken-back versions
 * @param invariants checker of rollout invariants
 * @param table row and lease in the platform's table
 */
record RolloutContext(
    String service,
    TimeSource time,
    MembershipView members,
    RolloutRegistry registry,
    GossipStore gossip,
    RolloutInvariants invariants,
    RolloutTable table) {

  private static final Logger LOG = LogManager.getLogger(RolloutContext.class);

  /** Returns the number of targets of a version that accept calls. */
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
    return registry.takenBack(service).contains(version);
  }

  /** Publishes a recorded row by gossip. */
  void announce(RecordedRow recorded) {
    gossip.publish(RolloutGossip.grantEntry(recorded));
  }

  /**
   * Publishes by gossip that a version is taken back, and records it. If the table cannot be
   * reached, pollers record it later.
   */
  void takeBack(TakenBackVersion version, String reason) {
    String key = RolloutGossip.takenBackKey(version);
    byte[] value =
        RolloutGossip.encodeTakenBack(
            "judge " + members.self().hostId(), time.now().toString(), reason);
    if (gossip.publish(RolloutGossip.takenBackEntry(key, value))) {
      LOG.warn("Taking back version {} of {}: {}", version.version(), service, reason);
      table.writeTakenBack(key, value);
    }
  }
}
