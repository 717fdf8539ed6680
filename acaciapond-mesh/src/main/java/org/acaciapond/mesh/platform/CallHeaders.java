package org.acaciapond.mesh.platform;

/**
 * Names of the headers that carry a call's facts between clients, nodes and targets.
 *
 * @param callId id that the client gives a request and the target echoes
 * @param timeoutMs milliseconds that the sender waits
 * @param targetId lifetime that is to run the request; any other refuses it
 * @param callerService service beside which the request began
 * @param signature target's proof of an answer
 * @param notRun present when the target did not run the request
 */
public record CallHeaders(
    String callId,
    String timeoutMs,
    String targetId,
    String callerService,
    String signature,
    String notRun) {}
