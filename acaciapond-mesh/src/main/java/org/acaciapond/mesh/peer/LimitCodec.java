package org.acaciapond.mesh.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.acaciapond.mesh.limit.LimitMessage;
import org.acaciapond.mesh.limit.Portion;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** MessagePack form of the messages of the shared limits, including their types. */
final class LimitCodec {

  static final int ASK = 16;
  static final int GRANT = 17;
  static final int PULL = 18;
  static final int SURPLUSES = 19;

  private LimitCodec() {}

  static void write(MessageBufferPacker out, LimitMessage message, StringDictionary names)
      throws IOException {
    if (message instanceof LimitMessage.Ask ask) {
      out.packInt(ASK).packLong(ask.number());
      names.write(out, ask.limit());
      out.packInt(ask.waiting()).packInt(ask.spare()).packInt(ask.maxWaitMs());
    } else if (message instanceof LimitMessage.Grant grant) {
      out.packInt(GRANT).packLong(grant.number());
      names.write(out, grant.limit());
      writePortions(out, grant.portions());
      out.packInt(grant.retryAfterMs()).packInt(grant.spacingMs());
    } else if (message instanceof LimitMessage.Pull pull) {
      out.packInt(PULL).packLong(pull.number()).packInt(pull.limits().size());
      for (String limit : pull.limits()) {
        names.write(out, limit);
      }
      out.packInt(pull.knownNodes());
    } else if (message instanceof LimitMessage.Surpluses surpluses) {
      out.packInt(SURPLUSES).packLong(surpluses.number()).packInt(surpluses.surpluses().size());
      for (LimitMessage.Surplus surplus : surpluses.surpluses()) {
        names.write(out, surplus.limit());
        writePortions(out, surplus.portions());
      }
    }
  }

  static LimitMessage read(MessageUnpacker in, int type, StringDictionary names)
      throws IOException {
    long number = in.unpackLong();
    return switch (type) {
      case ASK ->
          new LimitMessage.Ask(
              number, names.read(in), in.unpackInt(), in.unpackInt(), in.unpackInt());
      case GRANT ->
          new LimitMessage.Grant(
              number, names.read(in), readPortions(in), in.unpackInt(), in.unpackInt());
      case PULL -> {
        int count = PackedFields.readListSize(in);
        List<String> limits = new ArrayList<>();
        for (int i = 0; i < count; i++) {
          limits.add(names.read(in));
        }
        yield new LimitMessage.Pull(number, limits, in.unpackInt());
      }
      default -> {
        int count = PackedFields.readListSize(in);
        List<LimitMessage.Surplus> surpluses = new ArrayList<>();
        for (int i = 0; i < count; i++) {
          surpluses.add(new LimitMessage.Surplus(names.read(in), readPortions(in)));
        }
        yield new LimitMessage.Surpluses(number, surpluses);
      }
    };
  }

  private static void writePortions(MessageBufferPacker out, List<Portion> portions)
      throws IOException {
    out.packInt(portions.size());
    for (Portion portion : portions) {
      out.packLong(portion.microTokens()).packInt(portion.ageMs());
    }
  }

  private static List<Portion> readPortions(MessageUnpacker in) throws IOException {
    int count = PackedFields.readListSize(in);
    List<Portion> portions = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      portions.add(new Portion(in.unpackLong(), in.unpackInt()));
    }
    return portions;
  }
}
