package org.acaciapond.mesh.route;

import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;

/**
 * Thread-safe holder of the active desired state. Readers get an immutable route table. A table is
 * replaced only by one of a higher version, regardless of the order in which sources deliver them.
 */
public final class DesiredStateHolder {

  private final AtomicReference<@Nullable RouteTable> current = new AtomicReference<>();

  /** Returns the active route table, or null before the first one. */
  public @Nullable RouteTable current() {
    return current.get();
  }

  /** Returns the active version, or -1 before the first one. */
  public long version() {
    RouteTable table = current.get();
    return table == null ? -1 : table.version();
  }

  /** Activates a state if its version is higher than the active one; returns whether it was. */
  public boolean updateIfNewer(DesiredState state) {
    while (true) {
      RouteTable active = current.get();
      if (active != null && active.version() >= state.version()) {
        return false;
      }
      if (current.compareAndSet(active, new RouteTable(state))) {
        return true;
      }
    }
  }
}
