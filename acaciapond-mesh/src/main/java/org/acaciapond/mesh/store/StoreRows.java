package org.acaciapond.mesh.store;

import java.util.List;

/**
 * Rows of one moment.
 *
 * @param rows the rows
 * @param version newest version of the store at that moment; changes are read from there on
 */
public record StoreRows(List<StoreRow> rows, long version) {}
