package org.acaciapond.cli;

import io.smallrye.mutiny.Uni;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.acaciapond.config.version.ConfigCodec;
import org.acaciapond.platform.client.PlatformClient;
import org.acaciapond.platform.client.PlatformErrorCode;
import org.acaciapond.platform.client.PlatformException;
import org.acaciapond.platform.client.Row;
import org.acaciapond.platform.client.WriteResult;

/** In-memory platform with faults that tests enable. */
final class FakePlatform implements PlatformClient {

  final TreeMap<String, Row> rows = new TreeMap<>();
  final Map<String, byte[]> objects = new HashMap<>();

  /** Whether all reads and object writes fail; the outcome of row writes is then unknown. */
  boolean down;

  /** Number of the next row writes that take effect but whose responses are lost. */
  int lostResponses;

  /** Number of the next row writes that are lost before they take effect. */
  int lostRequests;

  /** Whether the platform goes down after the next row write. */
  boolean downAfterWrite;

  /** Runs once before the next row write. */
  Runnable beforeRowWrite = () -> {};

  /** Runs once before the next object write. */
  Runnable beforeObjectWrite = () -> {};

  void put(String key, String json) {
    long revision = rows.containsKey(key) ? rows.get(key).revision() + 1 : 1;
    rows.put(key, new Row(key, revision, json.getBytes(StandardCharsets.UTF_8)));
  }

  String value(String key) {
    return new String(rows.get(key).value(), StandardCharsets.UTF_8);
  }

  @Override
  public Uni<Optional<Row>> readRow(String key) {
    return respond(() -> Optional.ofNullable(rows.get(key)));
  }

  @Override
  public Uni<List<Row>> listRows(String prefix) {
    return respond(() -> List.copyOf(rows.subMap(prefix, prefix + Character.MAX_VALUE).values()));
  }

  @Override
  public Uni<WriteResult> writeRow(String key, long expectedRevision, byte[] value) {
    Runnable hook = beforeRowWrite;
    beforeRowWrite = () -> {};
    hook.run();
    if (down || lostRequests-- > 0) {
      return unknown();
    }
    long revision = rows.containsKey(key) ? rows.get(key).revision() : 0;
    boolean applied = revision == expectedRevision;
    if (applied) {
      rows.put(key, new Row(key, revision + 1, value));
    }
    down = downAfterWrite;
    if (lostResponses-- > 0) {
      return unknown();
    }
    return Uni.createFrom()
        .item(
            applied
                ? new WriteResult(WriteResult.Outcome.APPLIED, revision + 1)
                : new WriteResult(WriteResult.Outcome.NOT_APPLIED, 0));
  }

  @Override
  public Uni<Optional<byte[]>> readObject(String digest) {
    return respond(() -> Optional.ofNullable(objects.get(digest)));
  }

  @Override
  public Uni<String> writeObject(byte[] bytes) {
    Runnable hook = beforeObjectWrite;
    beforeObjectWrite = () -> {};
    hook.run();
    return respond(
        () -> {
          objects.put(ConfigCodec.digest(bytes), bytes);
          return ConfigCodec.digest(bytes);
        });
  }

  private <T> Uni<T> respond(Supplier<T> supplier) {
    return down
        ? Uni.createFrom()
            .failure(
                new PlatformException(PlatformErrorCode.PLATFORM_UNAVAILABLE, "no answer", null))
        : Uni.createFrom().item(supplier);
  }

  private static Uni<WriteResult> unknown() {
    return Uni.createFrom().item(new WriteResult(WriteResult.Outcome.UNKNOWN, 0));
  }
}
