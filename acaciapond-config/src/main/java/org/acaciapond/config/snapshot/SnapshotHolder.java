package org.acaciapond.config.snapshot;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;

/** Holder of the snapshot in force; replaces it in one step and never with an older one. */
public final class SnapshotHolder {

  private final AtomicReference<Snapshot> current;
  private final List<Consumer<Snapshot>> listeners = new CopyOnWriteArrayList<>();
  private final LongAdder refusedOlder = new LongAdder();
  private final LongAdder refusedContradicting = new LongAdder();

  /** Creates a holder with an initial snapshot. */
  public SnapshotHolder(Snapshot initial) {
    this.current = new AtomicReference<>(initial);
  }

  /** Returns the snapshot in force. */
  public Snapshot current() {
    return current.get();
  }

  /** Registers a listener that is called after each replacement. */
  public void addListener(Consumer<Snapshot> listener) {
    listeners.add(listener);
  }

  /** Puts a newer snapshot in force; returns false and counts when it is not newer. */
  public boolean offer(Snapshot next) {
    Snapshot before = current.get();
    while (true) {
      if (next.version().contradicts(before.version())) {
        refusedContradicting.increment();
        return false;
      }
      if (!next.version().isAfter(before.version())) {
        refusedOlder.increment();
        return false;
      }
      if (current.compareAndSet(before, next)) {
        listeners.forEach(listener -> listener.accept(next));
        return true;
      }
      before = current.get();
    }
  }

  /** Returns how many offers were refused because they were not newer. */
  public long refusedOlderCount() {
    return refusedOlder.sum();
  }

  /** Returns how many offers had the position in force but other content. */
  public long refusedContradictingCount() {
    return refusedContradicting.sum();
  }
}
