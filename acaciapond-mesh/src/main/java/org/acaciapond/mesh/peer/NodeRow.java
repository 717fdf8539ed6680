package org.acaciapond.mesh.peer;

import org.acaciapond.mesh.target.TargetDepartures;

/**
 * Row of a node in the store.
 *
 * @param node registration record of the node
 * @param departures departures of the node's target that the node has confirmed
 */
public record NodeRow(NodeRecord node, TargetDepartures departures) {}
