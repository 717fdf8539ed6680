package org.acaciapond.membership;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Values that the nodes spread among themselves; safe to use from any thread. */
public interface GossipStore {

  /** Adds a value and spreads it; returns false when a value of this revision or later is held. */
  boolean publish(GossipEntry entry);

  /** Returns the newest value of a key. */
  Optional<GossipEntry> get(String key);

  /** Returns the newest values of all keys with a prefix. */
  List<GossipEntry> list(String prefix);

  /** Registers a listener of new values, whether published here or received. */
  void addListener(Consumer<GossipEntry> listener);
}
