package org.acaciapond.node.rollout;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.acaciapond.membership.GossipEntry;
import org.acaciapond.membership.GossipStore;

/** Gossip store in memory that does not communicate with other nodes. */
public final class InMemoryGossipStore implements GossipStore {

  private final Map<String, GossipEntry> entries = new ConcurrentHashMap<>();
  private final List<Consumer<GossipEntry>> listeners = new CopyOnWriteArrayList<>();

  @Override
  public boolean publish(GossipEntry entry) {
    AtomicBoolean added = new AtomicBoolean();
    entries.compute(
        entry.key(),
        (key, known) -> {
          boolean newer = known == null || known.revision() < entry.revision();
          added.set(newer);
          return newer ? entry : known;
        });
    if (added.get()) {
      listeners.forEach(listener -> listener.accept(entry));
    }
    return added.get();
  }

  @Override
  public Optional<GossipEntry> get(String key) {
    return Optional.ofNullable(entries.get(key));
  }

  @Override
  public List<GossipEntry> list(String prefix) {
    return entries.values().stream().filter(entry -> entry.key().startsWith(prefix)).toList();
  }

  @Override
  public void addListener(Consumer<GossipEntry> listener) {
    listeners.add(listener);
  }
}
