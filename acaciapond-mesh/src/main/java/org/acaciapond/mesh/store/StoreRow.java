package org.acaciapond.mesh.store;

/**
 * One row.
 *
 * @param key key within the area
 * @param value bytes of the row; empty when it was removed
 * @param version version that its last write gave it
 * @param removed whether the row was removed
 */
public record StoreRow(String key, byte[] value, long version, boolean removed) {}
