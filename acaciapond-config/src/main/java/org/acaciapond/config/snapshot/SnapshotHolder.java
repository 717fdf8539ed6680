package org.acaciapond.config.snapshot;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;

/**
 * Holder of the snapshot in force; replaces it in one step and never with an older one.
 *
 * <p>Readers take no lock; replacements are serialised.
 */
public final class SnapshotHolder {

  private final List<Consumer<Snapshot>> listeners = new CopyOnWriteArrayList<>();
  private final LongAdder refusedOlder = new LongAdder();
  private final LongAdder refusedContradicting = new LongAdder();
  private volatile Snapshot current;

  /** Creates a holder with an initial snapshot. */
  public SnapshotHolder(Snapshot initial) {
    this.current = initial;
  }

  /** Returns the snapshot in force. */
  public Snapshot current() {
    return current;
  }

  /** Registers a listener that is called after each replacement. */
  public void addListener(Consumer<Snapshot> listener) {
    listeners.add(listener);
  }

  /** Puts a newer snapshot in force; returns false and counts when it is not newer. */
  public synchronized boolean offer(Snapshot next) {
    if (next.version().contradicts(current.version())) {
      refusedContradicting.increment();
      return false;
    }
    if (!next.version().isAfter(current.version())) {
      refusedOlder.increment();
      return false;
    }
    current = next;
    listeners.forEach(listener -> listener.accept(next));
    return true;
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
