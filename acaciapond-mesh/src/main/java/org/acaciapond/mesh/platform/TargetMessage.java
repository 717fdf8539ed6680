package org.acaciapond.mesh.platform;

import org.acaciapond.mesh.target.CheckIn;

/** Message of a target to its node. */
public sealed interface TargetMessage {

  /** Periodic report of a target's state. */
  record CheckInMessage(CheckIn checkIn) implements TargetMessage {}

  /** Deregistration of a target; {@code startedMs} is 0 if the message does not contain it. */
  record Deregistration(String id, long startedMs) implements TargetMessage {}

  /** Message that is not a valid message of a target. */
  record Invalid(String problem) implements TargetMessage {}
}
