package org.acaciapond.mesh.store;

import java.util.List;

/**
 * Rows that one read of the store returned.
 *
 * @param rows the rows
 * @param version version of the store from which to wait for further changes
 * @param malformed number of rows that were left out because they have no valid key or version
 */
public record StoreRows(List<StoreRow> rows, StoreVersion version, int malformed) {}
