package org.acaciapond.distribution.update;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.acaciapond.config.version.ServiceSlice;

/**
 * Difference between two configuration contents of the same scope.
 *
 * @param changed slices of added and changed services
 * @param removed names of removed services
 * @param callersAdded services newly permitted to call the scope's own service
 * @param callersRemoved services no longer permitted to call it
 */
public record ContentDelta(
    List<ServiceSlice> changed,
    Set<String> removed,
    Set<String> callersAdded,
    Set<String> callersRemoved) {

  /** Difference between equal contents. */
  public static final ContentDelta NONE = new ContentDelta(List.of(), Set.of(), Set.of(), Set.of());

  /** Creates a difference. */
  public ContentDelta {
    changed = List.copyOf(changed);
    removed = Set.copyOf(removed);
    callersAdded = Set.copyOf(callersAdded);
    callersRemoved = Set.copyOf(callersRemoved);
  }

  /** Returns the difference that turns the older content into the newer one. */
  public static ContentDelta between(ScopedContent older, ScopedContent newer) {
    if (older.digest().equals(newer.digest())) {
      return NONE;
    }
    List<ServiceSlice> changed =
        newer.slices().values().stream()
            .filter(slice -> !slice.equals(older.slices().get(slice.service())))
            .toList();
    return new ContentDelta(
        changed,
        without(older.slices().keySet(), newer.slices().keySet()),
        without(newer.permittedCallers(), older.permittedCallers()),
        without(older.permittedCallers(), newer.permittedCallers()));
  }

  private static Set<String> without(Set<String> all, Set<String> excluded) {
    return all.stream().filter(item -> !excluded.contains(item)).collect(Collectors.toSet());
  }

  /** Returns the content that results from applying this difference to a base. */
  public ScopedContent applyTo(ScopedContent base) {
    if (isEmpty()) {
      return base;
    }
    Map<String, ServiceSlice> slices = new HashMap<>(base.slices());
    slices.keySet().removeAll(removed);
    changed.forEach(slice -> slices.put(slice.service(), slice));
    Set<String> callers = new HashSet<>(base.permittedCallers());
    callers.removeAll(callersRemoved);
    callers.addAll(callersAdded);
    return new ScopedContent(slices, callers);
  }

  /** Returns whether there is no difference. */
  public boolean isEmpty() {
    return changed.isEmpty()
        && removed.isEmpty()
        && callersAdded.isEmpty()
        && callersRemoved.isEmpty();
  }
}
