package org.acaciapond.membership;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Store of the values that nodes replicate by gossip; safe to use from any thread. */
public interface GossipStore {

  /** Stores a value and gossips it; returns false if this or a later revision is stored already. */
  boolean publish(GossipEntry entry);

  /** Returns the latest value of a key. */
  Optional<GossipEntry> get(String key);

  /** Returns the latest values of all keys with a prefix. */
  List<GossipEntry> list(String prefix);

  /** Registers a listener for new values, both those published here and those received. */
  void addListener(Consumer<GossipEntry> listener);
}
