package org.acaciapond.config.snapshot;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import org.acaciapond.config.version.ConfigVersion;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Holder of the active snapshot, which is replaced atomically and never by an older one.
 *
 * <p>Reads are lock-free; replacements are serialized.
 */
public final class SnapshotHolder {

  private static final Logger LOG = LogManager.getLogger(SnapshotHolder.class);

  private final List<Consumer<Snapshot>> listeners = new CopyOnWriteArrayList<>();
  private final LongAdder refusedOlder = new LongAdder();
  private final LongAdder refusedContradicting = new LongAdder();
  private final LongAdder failedListeners = new LongAdder();
  private final AtomicReference<Snapshot> current;

  /** Creates a holder with an initial snapshot. */
  public SnapshotHolder(Snapshot initial) {
    this.current = new AtomicReference<>(initial);
  }

  /** Returns the active snapshot. */
  public Snapshot current() {
    return Objects.requireNonNull(current.get());
  }

  /** Registers a listener that is called after each replacement. */
  public void addListener(Consumer<Snapshot> listener) {
    listeners.add(listener);
  }

  /**
   * Replaces the active snapshot by a newer one; one that is not newer is refused and counted.
   *
   * <p>Listeners run under the lock, before the next offer is handled, so that they see the
   * versions in order. An exception of a listener is counted and does not keep the others from
   * being called.
   *
   * @return whether the snapshot became the active one
   */
  public synchronized boolean offer(Snapshot next) {
    ConfigVersion currentVersion = current().version();
    checkOwnService(next);
    if (next.version().contradicts(currentVersion)) {
      refusedContradicting.increment();
      return false;
    }
    if (!next.version().isAfter(currentVersion)) {
      refusedOlder.increment();
      return false;
    }
    current.set(next);
    listeners.forEach(listener -> notifyListener(listener, next));
    return true;
  }

  private void checkOwnService(Snapshot next) {
    String ownService = current().scope().ownService();
    if (!next.scope().ownService().equals(ownService)) {
      throw new IllegalArgumentException(
          "snapshot of " + next.scope().ownService() + " offered to a node of " + ownService);
    }
  }

  private void notifyListener(Consumer<Snapshot> listener, Snapshot next) {
    try {
      listener.accept(next);
    } catch (RuntimeException e) {
      failedListeners.increment();
      LOG.error("A snapshot listener failed on version {}", next.version().sequence(), e);
    }
  }

  /** Returns the number of listener calls that threw an exception. */
  public long failedListenerCount() {
    return failedListeners.sum();
  }

  /** Returns the number of offers refused because they were not newer. */
  public long refusedOlderCount() {
    return refusedOlder.sum();
  }

  /**
   * Returns the number of offers refused because they had the active position but other content.
   */
  public long refusedContradictingCount() {
    return refusedContradicting.sum();
  }
}
