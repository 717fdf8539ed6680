package org.acaciapond.platform.client;

import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Optional;

/** Access to the table service and the object store. */
public interface PlatformClient {

  /** Reads a row; fails with {@link PlatformException} when the platform cannot be reached. */
  Uni<Optional<Row>> readRow(String key);

  /** Reads all rows whose key starts with a prefix, in the order of their keys. */
  Uni<List<Row>> listRows(String prefix);

  /**
   * Writes a row if it still has the expected revision.
   *
   * <p>The result never fails for reasons of the network: it is {@code UNKNOWN} instead.
   *
   * @param key key of the row
   * @param expectedRevision revision that the row must have; 0 when it must not exist
   * @param value new value; it must differ from what any other write may store, as a write in doubt
   *     is settled by comparing values
   */
  Uni<WriteResult> writeRow(String key, long expectedRevision, byte[] value);

  /** Reads an object and checks its digest. */
  Uni<Optional<byte[]>> readObject(String digest);

  /** Writes an immutable object and returns its digest. */
  Uni<String> writeObject(byte[] bytes);
}
