package org.acaciapond.config.version;

import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * Difference between the state of an edit and that of its parent.
 *
 * @param changed services that are new or differ, with their slices after the edit
 * @param removed services that the edit removes
 * @param stateDigest digest of the whole state after the edit
 */
public record EditDelta(List<SliceRef> changed, List<String> removed, String stateDigest) {

  /** Creates a difference. */
  public EditDelta {
    changed = List.copyOf(changed);
    removed = List.copyOf(removed);
  }

  /** Returns what leads from the slices of the parent to those of the edit. */
  public static EditDelta between(
      Collection<ServiceSlice> parent, Collection<ServiceSlice> slices) {
    Map<String, String> before = SliceIndex.of(parent).digests();
    SliceIndex index = SliceIndex.of(slices);
    Map<String, String> after = index.digests();
    List<SliceRef> changed =
        after.entrySet().stream()
            .filter(entry -> !entry.getValue().equals(before.get(entry.getKey())))
            .map(entry -> new SliceRef(entry.getKey(), entry.getValue()))
            .toList();
    List<String> removed = before.keySet().stream().filter(n -> !after.containsKey(n)).toList();
    return new EditDelta(changed, removed, index.digest());
  }
}
