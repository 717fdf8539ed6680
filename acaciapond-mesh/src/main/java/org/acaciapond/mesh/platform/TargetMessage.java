package org.acaciapond.mesh.platform;

import org.acaciapond.mesh.target.CheckIn;

/** Message of a target to the node beside it. */
public sealed interface TargetMessage {

  /** Periodic statement of a target's state. */
  record Beat(CheckIn checkIn) implements TargetMessage {}

  /** A target leaves; {@code bornMs} is 0 when the message does not say it. */
  record Leave(String id, long bornMs) implements TargetMessage {}

  /** Not a message of a target. */
  record Invalid(String problem) implements TargetMessage {}
}
