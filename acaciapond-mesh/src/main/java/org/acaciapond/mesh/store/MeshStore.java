package org.acaciapond.mesh.store;

import io.smallrye.mutiny.Uni;
import java.time.Duration;

/** Client of the platform's key-value store. */
public interface MeshStore {

  /** Reads all rows of an area; fails with {@link StoreException}. */
  Uni<StoreRows> read(StoreArea area);

  /**
   * Waits for changes of an area after a version. Fails with {@link StoreException}; with {@link
   * StoreErrorCode#HISTORY_GONE} the area has to be read again, also because the store is in
   * another era than the version.
   */
  Uni<StoreRows> awaitChanges(StoreArea area, StoreVersion afterVersion, Duration wait);

  /**
   * Writes a row if it still has the expected version; {@link StoreVersion#ABSENT} means that it
   * must not exist.
   */
  Uni<WriteOutcome> write(StoreArea area, String key, byte[] value, StoreVersion expectedVersion);

  /** Returns the number of responses whose era was malformed. */
  default long malformedEras() {
    return 0;
  }
}
