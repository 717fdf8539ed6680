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

/** Platform in memory with faults that tests switch on. */
final class FakePlatform implements PlatformClient {

  final TreeMap<String, Row> rows = new TreeMap<>();
  final Map<String, byte[]> objects = new HashMap<>();

  /** Fails every read and object write while true; row writes are then unknown. */
  boolean down;

  /** Row writes still to come whose answers are lost after they took effect. */
  int lostAnswers;

  /** Row writes still to come that are lost before they took effect. */
  int lostRequests;

  /** Takes the platform down after the next row write. */
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
    return answer(() -> Optional.ofNullable(rows.get(key)));
  }

  @Override
  public Uni<List<Row>> listRows(String prefix) {
    return answer(() -> List.copyOf(rows.subMap(prefix, prefix + Character.MAX_VALUE).values()));
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
    if (lostAnswers-- > 0) {
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
    return answer(() -> Optional.ofNullable(objects.get(digest)));
  }

  @Override
  public Uni<String> writeObject(byte[] bytes) {
    Runnable hook = beforeObjectWrite;
    beforeObjectWrite = () -> {};
    hook.run();
    return answer(
        () -> {
          objects.put(ConfigCodec.digest(bytes), bytes);
          return ConfigCodec.digest(bytes);
        });
  }

  private <T> Uni<T> answer(Supplier<T> supplier) {
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
