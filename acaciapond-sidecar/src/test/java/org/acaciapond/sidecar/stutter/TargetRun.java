package org.acaciapond.sidecar.stutter;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.jspecify.annotations.Nullable;

/** One run of a request in a target, with what the target answered. */
final class TargetRun {

  final String id;
  final String targetId;
  final String signature;
  final byte[] body;
  final int status;
  final @Nullable ResponseFault fault;
  final boolean complete;
  private final String place;
  private final List<String> wire = new CopyOnWriteArrayList<>();
  final long startNanos;

  /**
   * Creates a run.
   *
   * @param complete whether the target sends its whole response
   * @param place connection of the request and the requests around it
   */
  TargetRun(
      String id,
      String targetId,
      String signature,
      byte[] body,
      int status,
      @Nullable ResponseFault fault,
      boolean complete,
      long startNanos,
      String place) {
    this.id = id;
    this.targetId = targetId;
    this.signature = signature;
    this.body = body;
    this.status = status;
    this.fault = fault;
    this.complete = complete;
    this.startNanos = startNanos;
    this.place = place;
  }

  void recordWritten(String what, byte[] bytes) {
    long sinceMs = (System.nanoTime() - startNanos) / 1_000_000;
    wire.add("+" + sinceMs + " ms " + what + " " + WireText.of(bytes, 0, bytes.length));
  }

  @Override
  public String toString() {
    return targetId
        + " "
        + place
        + " status "
        + status
        + " fault "
        + fault
        + " signature "
        + signature
        + "\n      "
        + String.join("\n      ", wire);
  }
}
