package org.acaciapond.mesh.route;

import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;

/**
 * Holder of the desired state in force. Readers see one immutable table; a table is only ever
 * replaced by one of a higher version, whatever order sources deliver them in.
 */
public final class DesiredStateHolder {

  private final AtomicReference<@Nullable RouteTable> current = new AtomicReference<>();

  /** Returns the table in force, or null before the first one. */
  public @Nullable RouteTable current() {
    return current.get();
  }

  /** Returns the version in force, or -1 before the first one. */
  public long version() {
    RouteTable table = current.get();
    return table == null ? -1 : table.version();
  }

  /** Puts a state in force if its version is higher than the one held; returns whether it was. */
  public boolean offer(DesiredState state) {
    while (true) {
      RouteTable held = current.get();
      if (held != null && held.version() >= state.version()) {
        return false;
      }
      if (current.compareAndSet(held, new RouteTable(state))) {
        return true;
      }
    }
  }
}
