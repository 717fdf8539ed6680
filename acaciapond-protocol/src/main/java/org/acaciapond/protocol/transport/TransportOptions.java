package org.acaciapond.protocol.transport;

import org.jspecify.annotations.Nullable;

/**
 * Limits and TLS files of the connections of a {@link PeerTransport}.
 *
 * @param checkIntervalMs interval between liveness checks on each connection
 * @param responseTimeoutMs time after which a connection without a response to a check is closed
 * @param idleTimeoutMs time after which a connection without messages other than checks is closed
 * @param maxPendingBytes bytes that may be pending for one peer before its connection is closed
 * @param tlsReloadIntervalMs interval between checks for changed TLS files
 * @param tls files of mutual TLS, or null for plain TCP
 */
public record TransportOptions(
    long checkIntervalMs,
    long responseTimeoutMs,
    long idleTimeoutMs,
    int maxPendingBytes,
    long tlsReloadIntervalMs,
    @Nullable TlsFiles tls) {

  /**
   * Default limits without TLS; a full state of about 520 KB fits the pending bytes three times.
   */
  public static final TransportOptions DEFAULTS =
      new TransportOptions(1_000, 2_000, 300_000, 2 * 1024 * 1024, 10_000, null);

  /** Returns these options with other TLS files. */
  public TransportOptions withTls(@Nullable TlsFiles files) {
    return new TransportOptions(
        checkIntervalMs,
        responseTimeoutMs,
        idleTimeoutMs,
        maxPendingBytes,
        tlsReloadIntervalMs,
        files);
  }
}
