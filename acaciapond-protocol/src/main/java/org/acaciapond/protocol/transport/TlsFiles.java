package org.acaciapond.protocol.transport;

/**
 * PEM files of mutual TLS between nodes.
 *
 * @param keyPath private key of this node
 * @param certificatePath certificate of this node
 * @param trustPath certificates of the authorities whose nodes are trusted
 */
public record TlsFiles(String keyPath, String certificatePath, String trustPath) {}
