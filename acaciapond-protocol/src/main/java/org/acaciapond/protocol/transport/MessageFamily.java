package org.acaciapond.protocol.transport;

import org.acaciapond.protocol.message.EvidenceMessage;
import org.acaciapond.protocol.message.LivenessMessage;
import org.acaciapond.protocol.message.MembershipMessage;
import org.acaciapond.protocol.message.Message;

/** Family of messages between nodes, whose traffic is counted separately. */
public enum MessageFamily {
  /** Probes, gossip and anti-entropy. */
  MEMBERSHIP,
  /** Subscriptions, updates and minimum versions of the configuration. */
  DISTRIBUTION,
  /** Summaries of call outcomes for rollouts. */
  EVIDENCE,
  /** Liveness checks of connections. */
  LIVENESS;

  /** Returns the family of a message. */
  static MessageFamily of(Message message) {
    if (message instanceof MembershipMessage) {
      return MEMBERSHIP;
    }
    if (message instanceof LivenessMessage) {
      return LIVENESS;
    }
    return message instanceof EvidenceMessage ? EVIDENCE : DISTRIBUTION;
  }
}
