package org.acaciapond.distribution.update;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.acaciapond.config.version.ServiceSlice;

/**
 * Difference between two contents of one scope.
 *
 * @param changed slices that are new or differ
 * @param removed services that are gone
 * @param callersAdded services that may now call the own service
 * @param callersRemoved services that no longer may
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

  /** Returns what turns the old content into the new one. */
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

  /** Returns the content after this difference. */
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

  /** Returns whether nothing differs. */
  public boolean isEmpty() {
    return changed.isEmpty()
        && removed.isEmpty()
        && callersAdded.isEmpty()
        && callersRemoved.isEmpty();
  }
}
