package org.acaciapond.mesh.peer;

import org.acaciapond.mesh.store.StoreVersion;

/**
 * Summary of the operator rows that a node holds, by which two nodes find out whether one of them
 * lacks a row or holds a removed one.
 *
 * @param completeTo version of the store up to which the node knows all rows and all removals
 * @param digest digest of the keys and versions of the rows, independent of their order
 */
public record StateSummary(StoreVersion completeTo, long digest) {}
