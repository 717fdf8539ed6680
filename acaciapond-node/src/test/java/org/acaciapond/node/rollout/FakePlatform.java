package org.acaciapond.node.rollout;

import io.smallrye.mutiny.Uni;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.acaciapond.platform.client.PlatformClient;
import org.acaciapond.platform.client.PlatformErrorCode;
import org.acaciapond.platform.client.PlatformException;
import org.acaciapond.platform.client.Row;
import org.acaciapond.platform.client.WriteResult;

/** Access of one node to an in-memory table, with faults that a test switches on and off. */
final class FakePlatform implements PlatformClient {

  /** Table that several nodes share. */
  static final class Table {

    final TreeMap<String, Row> rows = new TreeMap<>();
    BiConsumer<Optional<Row>, Row> onWrite = (before, after) -> {};

    WriteResult write(String key, long expectedRevision, byte[] value) {
      Optional<Row> before = Optional.ofNullable(rows.get(key));
      if (before.map(Row::revision).orElse(0L) != expectedRevision) {
        return new WriteResult(WriteResult.Outcome.NOT_APPLIED, 0);
      }
      Row after = new Row(key, expectedRevision + 1, value);
      onWrite.accept(before, after);
      rows.put(key, after);
      return new WriteResult(WriteResult.Outcome.APPLIED, after.revision());
    }
  }

  private final Table table;
  private final Queue<Runnable> delayedWrites = new ArrayDeque<>();

  /** Reads fail and writes have no effect. */
  boolean down;

  /** Writes take effect, but their responses are lost. */
  boolean losesResponses;

  /** Writes of rollout rows reach the table only on {@link #release()}. */
  boolean delaysRowWrites;

  FakePlatform(Table table) {
    this.table = table;
  }

  /** Executes the delayed writes and ends the delay. */
  void release() {
    delaysRowWrites = false;
    while (!delayedWrites.isEmpty()) {
      delayedWrites.remove().run();
    }
  }

  @Override
  public Uni<Optional<Row>> readRow(String key) {
    return read(() -> Optional.ofNullable(table.rows.get(key)));
  }

  @Override
  public Uni<List<Row>> listRows(String prefix) {
    return read(
        () -> table.rows.values().stream().filter(r -> r.key().startsWith(prefix)).toList());
  }

  private <T> Uni<T> read(Supplier<T> response) {
    return Uni.createFrom()
        .item(
            () -> {
              if (down) {
                throw new PlatformException(PlatformErrorCode.PLATFORM_UNAVAILABLE, "down", null);
              }
              return response.get();
            });
  }

  @Override
  public Uni<WriteResult> writeRow(String key, long expectedRevision, byte[] value) {
    return Uni.createFrom()
        .emitter(
            emitter -> {
              Runnable work = () -> emitter.complete(write(key, expectedRevision, value));
              if (delaysRowWrites && key.startsWith(RolloutGossip.ROW_PREFIX)) {
                delayedWrites.add(work);
              } else {
                work.run();
              }
            });
  }

  private WriteResult write(String key, long expectedRevision, byte[] value) {
    WriteResult unknown = new WriteResult(WriteResult.Outcome.UNKNOWN, 0);
    if (down) {
      return unknown;
    }
    WriteResult result = table.write(key, expectedRevision, value);
    return losesResponses ? unknown : result;
  }

  @Override
  public Uni<Optional<byte[]>> readObject(String digest) {
    throw new UnsupportedOperationException();
  }

  @Override
  public Uni<String> writeObject(byte[] bytes) {
    throw new UnsupportedOperationException();
  }
}
