package org.acaciapond.protocol.codec;

import java.util.List;

/** Codecs of the messages that distribute configuration; they use the type numbers 20 to 39. */
public final class DistributionCodecs {

  /** All codecs of configuration distribution. */
  public static final List<MessageCodec<?>> ALL =
      List.of(
          new InviteMessageCodec(),
          new SubscribeMessageCodec(),
          new UpdateMessageCodec(),
          new VersionMessageCodec(),
          new VersionAckMessageCodec(),
          new ReplicaCountMessageCodec(),
          new MinimumVersionRequestMessageCodec(),
          new MinimumVersionResponseMessageCodec());

  private DistributionCodecs() {}
}
