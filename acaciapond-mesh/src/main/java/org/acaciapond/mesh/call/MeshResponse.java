package org.acaciapond.mesh.call;

import java.util.List;
import org.acaciapond.mesh.target.TargetLoad;

/**
 * Response of the node of a target to a call.
 *
 * @param outcome how the call ended
 * @param reason why the target did not answer, or why its answer is a failure
 * @param retryAfterMs time after which a slot is expected to be free, for a refused call
 * @param status HTTP status of the target's response, 0 if there is none
 * @param headers alternating names and values
 * @param body complete body
 * @param serviceUs service time in the target in microseconds, 0 if it did not answer
 * @param load load of the target after the call
 */
public record MeshResponse(
    Outcome outcome,
    Reason reason,
    int retryAfterMs,
    int status,
    List<String> headers,
    byte[] body,
    int serviceUs,
    TargetLoad load) {

  private static final byte[] EMPTY_BODY = new byte[0];

  /** Returns this response with another reason. */
  public MeshResponse withReason(Reason other) {
    return new MeshResponse(outcome, other, retryAfterMs, status, headers, body, serviceUs, load);
  }

  /** Returns this response with another body. */
  public MeshResponse withBody(byte[] other) {
    return new MeshResponse(outcome, reason, retryAfterMs, status, headers, other, serviceUs, load);
  }

  /** Creates a response for a call that the target did not answer. */
  public static MeshResponse withoutAnswer(
      Outcome outcome, Reason reason, int retryAfterMs, TargetLoad load) {
    return new MeshResponse(outcome, reason, retryAfterMs, 0, List.of(), EMPTY_BODY, 0, load);
  }
}
