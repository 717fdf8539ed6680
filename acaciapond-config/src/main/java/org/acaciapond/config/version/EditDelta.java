package org.acaciapond.config.version;

import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * Difference between the state after an edit and the state after its parent.
 *
 * @param changed slices, after the edit, of the services that it adds or changes
 * @param removed names of the services that the edit removes
 * @param stateDigest digest of the whole state after the edit
 */
public record EditDelta(List<SliceRef> changed, List<String> removed, String stateDigest) {

  /** Creates a difference. */
  public EditDelta {
    changed = List.copyOf(changed);
    removed = List.copyOf(removed);
  }

  /** Computes the difference between the slices of the parent and those of the edit. */
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
