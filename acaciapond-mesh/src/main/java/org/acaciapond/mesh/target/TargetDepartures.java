package org.acaciapond.mesh.target;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Departures of the lifetimes of one target; immutable.
 *
 * @param all the departures, none of which covers another, in the order in which they were added
 */
public record TargetDepartures(List<TargetDeparture> all) {

  /** No departures. */
  public static final TargetDepartures NONE = new TargetDepartures(List.of());

  // Only departures without a start time add up, and a target starts again under few ids.
  private static final int MAX_DEPARTURES = 8;

  /** Copies the list. */
  public TargetDepartures {
    all = List.copyOf(all);
  }

  /** Returns whether a departure is covered by one of these. */
  public boolean covers(TargetDeparture departure) {
    return all.stream().anyMatch(each -> each.covers(departure));
  }

  /** Returns whether each of the other departures is covered by one of these. */
  public boolean coversAll(TargetDepartures others) {
    return others.all.stream().allMatch(this::covers);
  }

  /** Returns the departure of the lifetime that started last, or null if no start time is known. */
  public @Nullable TargetDeparture latestStarted() {
    return all.stream().filter(each -> each.startedMs() > 0).findFirst().orElse(null);
  }

  /** Returns these departures and another one; beyond the limit, the oldest are dropped. */
  public TargetDepartures with(TargetDeparture departure) {
    if (covers(departure)) {
      return this;
    }
    List<TargetDeparture> updated = new ArrayList<>(all);
    updated.removeIf(departure::covers);
    updated.add(departure);
    int first = Math.max(0, updated.size() - MAX_DEPARTURES);
    return new TargetDepartures(updated.subList(first, updated.size()));
  }
}
