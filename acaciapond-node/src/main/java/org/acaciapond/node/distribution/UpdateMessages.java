package org.acaciapond.node.distribution;

import org.acaciapond.distribution.update.ConfigUpdate;
import org.acaciapond.distribution.update.ContentDelta;
import org.acaciapond.protocol.message.Message;
import org.acaciapond.protocol.message.UpdateMessage;
import org.acaciapond.protocol.message.VersionMessage;

/** Converter between configuration updates and protocol messages. */
final class UpdateMessages {

  private static final int DIGEST_PREFIX_CHARS = 32;

  private UpdateMessages() {}

  static Message toMessage(ConfigUpdate update) {
    if (update.isVersionOnly()) {
      return new VersionMessage(
          update.version(), update.resultDigest().substring(0, DIGEST_PREFIX_CHARS));
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

  /**
   * Returns the update that a version message means for a receiver with the given content. If the
   * digests differ, the update applies to no content, so that the receiver requests a full one.
   */
  static ConfigUpdate fromMessage(VersionMessage message, String currentDigest) {
    boolean unchanged = currentDigest.startsWith(message.contentDigestStart());
    return new ConfigUpdate(
        message.version(), unchanged ? currentDigest : "", ContentDelta.NONE, currentDigest);
  }
}
