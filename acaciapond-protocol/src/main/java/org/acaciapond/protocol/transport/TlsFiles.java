package org.acaciapond.protocol.transport;

/**
 * Paths of the PEM files for mutual TLS between nodes.
 *
 * @param keyPath private key of this node
 * @param certificatePath certificate of this node
 * @param trustPath certificates of the trusted authorities
 */
public record TlsFiles(String keyPath, String certificatePath, String trustPath) {}
