package org.acaciapond.node.distribution;

import org.acaciapond.distribution.update.ConfigUpdate;
import org.acaciapond.distribution.update.ContentDelta;
import org.acaciapond.protocol.message.Message;
import org.acaciapond.protocol.message.UpdateMessage;
import org.acaciapond.protocol.message.VersionMessage;

/** Conversion between updates and the messages that carry them. */
final class UpdateMessages {

  private static final int DIGEST_START_CHARS = 32;

  private UpdateMessages() {}

  static Message toMessage(ConfigUpdate update) {
    if (update.isVersionOnly()) {
      return new VersionMessage(
          update.version(), update.resultDigest().substring(0, DIGEST_START_CHARS));
    }
    ContentDelta delta = update.delta();
    return new UpdateMessage(
        update.version(),
        update.baseDigest(),
        delta.changed(),
        delta.removed(),
        delta.callersAdded(),
        delta.callersRemoved(),
        update.resultDigest());
  }

  static ConfigUpdate fromMessage(UpdateMessage message) {
    return new ConfigUpdate(
        message.version(),
        message.baseDigest(),
        new ContentDelta(
            message.changed(), message.removed(), message.callersAdded(), message.callersRemoved()),
        message.resultDigest());
  }

  /** Returns the update that an announcement stands for at a receiver with some content. */
  static ConfigUpdate fromMessage(VersionMessage message, String heldDigest) {
    boolean same = heldDigest.startsWith(message.contentDigestStart());
    return new ConfigUpdate(
        message.version(), same ? heldDigest : "", ContentDelta.NONE, heldDigest);
  }
}
