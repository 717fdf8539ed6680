package org.acaciapond.protocol.transport;

import org.jspecify.annotations.Nullable;

/**
 * Limits of the connections of a {@link PeerTransport}.
 *
 * @param checkIntervalMs interval between liveness checks on each connection
 * @param answerTimeoutMs time without an answer to a check after which a connection is closed
 * @param idleTimeoutMs time without any message after which a connection is closed
 * @param maxPendingBytes bytes that may wait to be written to one peer before it is dropped
 * @param tlsReloadIntervalMs interval in which changes of the TLS files are looked for
 * @param tls files of mutual TLS, or null for plain TCP
 */
public record TransportOptions(
    long checkIntervalMs,
    long answerTimeoutMs,
    long idleTimeoutMs,
    int maxPendingBytes,
    long tlsReloadIntervalMs,
    @Nullable TlsFiles tls) {

  /** Limits without TLS. A full state of about 520 KB fits the pending bytes three times. */
  public static final TransportOptions DEFAULTS =
      new TransportOptions(1_000, 2_000, 300_000, 2 * 1024 * 1024, 10_000, null);

  /** Returns these limits with TLS files. */
  public TransportOptions withTls(@Nullable TlsFiles files) {
    return new TransportOptions(
        checkIntervalMs,
        answerTimeoutMs,
        idleTimeoutMs,
        maxPendingBytes,
        tlsReloadIntervalMs,
        files);
  }
}
