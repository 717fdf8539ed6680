package org.acaciapond.mesh.platform;

/**
 * Names of the HTTP headers that describe a call between clients, nodes and targets.
 *
 * @param callId id that the client assigns to a request and the target returns
 * @param timeoutMs how long the sender waits, in milliseconds
 * @param targetId id of the target instance that must run the request; any other refuses it
 * @param callerService service whose node received the request first
 * @param signature target's signature of a response
 * @param notRun present if the target did not run the request
 * @param credentials key of a client account, see {@link PlatformCodec#decodeKey}
 * @param account name of the client account that holds the key, which targets receive in its place
 */
public record CallHeaders(
    String callId,
    String timeoutMs,
    String targetId,
    String callerService,
    String signature,
    String notRun,
    String credentials,
    String account) {}
