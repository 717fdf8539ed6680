package org.acaciapond.protocol.message;

import java.util.List;

/**
 * Members known to the sender.
 *
 * @param members members, the sender among them
 */
public record AnnounceMessage(List<MemberRecord> members) implements Message {

  /** Creates a message. */
  public AnnounceMessage {
    members = List.copyOf(members);
  }
}
