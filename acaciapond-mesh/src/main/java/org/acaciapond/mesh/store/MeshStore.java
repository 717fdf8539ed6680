package org.acaciapond.mesh.store;

import io.smallrye.mutiny.Uni;
import java.time.Duration;

/** Access to the platform's store. */
public interface MeshStore {

  /** Reads all rows of an area; fails with {@link StoreException}. */
  Uni<StoreRows> read(StoreArea area);

  /**
   * Waits for changes of an area after a version; fails with {@link StoreException}, whose code
   * tells when the history is gone and the area has to be read again.
   */
  Uni<StoreRows> changes(StoreArea area, long afterVersion, Duration wait);

  /** Writes a row if it still has the expected version; 0 when it must not exist. */
  Uni<WriteOutcome> write(StoreArea area, String key, byte[] value, long expectedVersion);
}
