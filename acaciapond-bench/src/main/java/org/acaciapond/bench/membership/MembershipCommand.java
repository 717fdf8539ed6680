package org.acaciapond.bench.membership;

import io.vertx.core.json.JsonObject;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.acaciapond.membership.MembershipPacket;
import org.acaciapond.membership.MembershipSettings;
import org.acaciapond.protocol.codec.CodecRegistry;
import org.acaciapond.protocol.codec.MembershipMessageCodec;
import org.acaciapond.protocol.message.MembershipMessage;

/** Command that measures the membership protocol of a fleet in virtual time. */
public final class MembershipCommand {

  private static final CodecRegistry CODECS =
      new CodecRegistry(List.of(new MembershipMessageCodec()));
  private static final int FRAME_HEADER_BYTES = 4;

  private MembershipCommand() {}

  /** Runs the experiment and prints its results. */
  public static void run(String[] args) {
    OptionParser parser = new OptionParser();
    OptionSpec<Integer> members =
        parser.accepts("members").withRequiredArg().ofType(Integer.class).defaultsTo(50);
    OptionSpec<Integer> domains =
        parser.accepts("domains").withRequiredArg().ofType(Integer.class).defaultsTo(6);
    OptionSpec<Long> seed =
        parser.accepts("seed").withRequiredArg().ofType(Long.class).defaultsTo(1L);
    OptionSpec<Void> json = parser.accepts("json", "print one JSON object");
    OptionSpec<Void> recordHeap =
        parser.accepts("record-heap", "only measure the heap of all records in one node");
    OptionSet options = parser.parse(args);
    if (options.has(recordHeap)) {
      printRecordHeap(options.valueOf(members));
      return;
    }
    MembershipExperiment experiment =
        new MembershipExperiment(
            MembershipSettings.DEFAULTS,
            options.valueOf(members),
            options.valueOf(domains),
            options.valueOf(seed),
            MembershipCommand::wireBytes);
    JsonObject results = experiment.run();
    if (options.has(json)) {
      System.out.println(results.encode());
    } else {
      results.forEach(result -> System.out.println(result.getKey() + ": " + result.getValue()));
    }
  }

  private static void printRecordHeap(int members) {
    try {
      System.out.println(
          new JsonObject()
              .put("members", members)
              .put("record_heap_bytes", RecordHeap.measure(members))
              .encode());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the size of the frame of a packet, without TCP and IP headers. */
  static int wireBytes(MembershipPacket packet) {
    return FRAME_HEADER_BYTES + CODECS.encode(new MembershipMessage(packet)).length;
  }
}
