package org.acaciapond.platform.client;

import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Optional;

/** Client of the table service and the object store of the platform. */
public interface PlatformClient {

  /** Reads a row; fails with {@link PlatformException} when the platform cannot be reached. */
  Uni<Optional<Row>> readRow(String key);

  /** Reads all rows whose key starts with a prefix, in the order of their keys. */
  Uni<List<Row>> listRows(String prefix);

  /**
   * Writes a row if it still has the expected revision.
   *
   * <p>The result never fails because of a network error: it is {@code UNKNOWN} instead.
   *
   * @param key key of the row
   * @param expectedRevision revision that the row must have; 0 when it must not exist
   * @param value new value; it must differ from the value of any other write, because the outcome
   *     of a write without a response is resolved by comparing values
   */
  Uni<WriteResult> writeRow(String key, long expectedRevision, byte[] value);

  /** Reads an object and verifies its digest. */
  Uni<Optional<byte[]>> readObject(String digest);

  /** Writes an immutable object and returns its digest. */
  Uni<String> writeObject(byte[] bytes);
}
