package org.acaciapond.platform;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicBoolean;

/** In-memory table of rows with conditional writes. */
final class TableStore {

  /**
   * Value of a row with its revision.
   *
   * @param revision number that increases with each write, from 1
   * @param value value
   */
  record Cell(long revision, byte[] value) {}

  private final ConcurrentSkipListMap<String, Cell> cells = new ConcurrentSkipListMap<>();

  Optional<Cell> read(String key) {
    return Optional.ofNullable(cells.get(key));
  }

  Map<String, Cell> list(String prefix) {
    return cells.subMap(prefix, prefix + Character.MAX_VALUE);
  }

  /**
   * Writes a row if it has the expected revision, 0 for an absent row; returns the new revision, or
   * 0 if the row had another one.
   */
  long write(String key, long expectedRevision, byte[] value) {
    AtomicBoolean applied = new AtomicBoolean();
    cells.compute(
        key,
        (k, old) -> {
          long revision = old == null ? 0 : old.revision();
          if (revision != expectedRevision) {
            return old;
          }
          applied.set(true);
          return new Cell(expectedRevision + 1, value);
        });
    return applied.get() ? expectedRevision + 1 : 0;
  }
}
