package org.acaciapond.mesh.store;

/**
 * Row of the store.
 *
 * @param key key within the area
 * @param value content of the row; empty if it was removed
 * @param version version of the store that its last write created
 * @param removed whether the row was removed
 */
public record StoreRow(String key, byte[] value, StoreVersion version, boolean removed) {}
