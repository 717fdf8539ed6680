package org.acaciapond.mesh.call;

import java.util.List;
import org.acaciapond.mesh.target.TargetLoad;

/**
 * End of a call at the node beside a target.
 *
 * @param outcome what became of it
 * @param reason why there is no answer
 * @param retryAfterMs when there will be room, for a refused call
 * @param status HTTP status of the answer
 * @param headers names and values in turn
 * @param body whole body
 * @param runUs time in the target, 0 when it was not reached
 * @param load load of the target after the call
 */
public record MeshResponse(
    Outcome outcome,
    Reason reason,
    int retryAfterMs,
    int status,
    List<String> headers,
    byte[] body,
    int runUs,
    TargetLoad load) {

  private static final byte[] EMPTY = new byte[0];

  /** Returns a reply without an answer. */
  public static MeshResponse without(
      Outcome outcome, Reason reason, int retryAfterMs, TargetLoad load) {
    return new MeshResponse(outcome, reason, retryAfterMs, 0, List.of(), EMPTY, 0, load);
  }
}
