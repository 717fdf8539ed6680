package org.acaciapond.mesh.peer;

/**
 * Address of a node and of what runs beside it.
 *
 * @param key stable key of the host
 * @param host address for other nodes
 * @param port port for other nodes
 * @param domain failure domain
 * @param service service beside it
 * @param startedMs start of the node's process; a higher one replaces a lower one
 */
public record NodeRecord(
    String key, String host, int port, String domain, String service, long startedMs) {}
