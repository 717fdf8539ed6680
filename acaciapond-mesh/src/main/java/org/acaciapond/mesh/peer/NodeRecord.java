package org.acaciapond.mesh.peer;

/**
 * Registration record of a node: its address and the service of its target.
 *
 * @param key stable key of the host
 * @param host address for other nodes
 * @param port port for other nodes
 * @param domain failure domain
 * @param service service of the node's target
 * @param startedMs start time of the node's process; a record with a higher one replaces a record
 *     with a lower one
 */
public record NodeRecord(
    String key, String host, int port, String domain, String service, long startedMs) {}
