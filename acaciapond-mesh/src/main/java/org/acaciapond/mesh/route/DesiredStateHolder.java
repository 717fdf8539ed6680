package org.acaciapond.mesh.route;

import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;

/**
 * Thread-safe holder of the current desired state. Readers get an immutable route table. A table is
 * replaced only by one of a higher version, regardless of the order in which sources deliver them.
 */
public final class DesiredStateHolder {

  private final AtomicReference<@Nullable RouteTable> current = new AtomicReference<>();

  /** Returns the current route table, or null before the first one. */
  public @Nullable RouteTable current() {
    return current.get();
  }

  /** Returns the current version, or -1 before the first one. */
  public long version() {
    RouteTable table = current.get();
    return table == null ? -1 : table.version();
  }

  /**
   * Returns the requests per second that a cold target of a service tolerates: 0 if any number, and
   * a negative value before the first state.
   */
  public double coldRequestsPerS(String service) {
    RouteTable table = current.get();
    if (table == null) {
      return -1;
    }
    ServiceSpec spec = table.state().services().get(service);
    return spec == null ? 0 : Math.max(0, spec.coldRequestsPerS());
  }

  /** Replaces the current state if the given one has a higher version; returns whether it did. */
  public boolean updateIfNewer(DesiredState state) {
    while (true) {
      RouteTable previous = current.get();
      if (previous != null && previous.version() >= state.version()) {
        return false;
      }
      if (current.compareAndSet(previous, new RouteTable(state))) {
        return true;
      }
    }
  }
}
