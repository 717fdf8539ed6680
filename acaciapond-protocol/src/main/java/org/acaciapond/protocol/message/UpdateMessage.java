package org.acaciapond.protocol.message;

import java.util.List;
import java.util.Set;
import org.acaciapond.config.version.ConfigVersion;
import org.acaciapond.config.version.ServiceSlice;

/**
 * Difference that leads to a version.
 *
 * @param version version that it leads to
 * @param baseDigest digest of the content that it applies to
 * @param changed slices that are new or differ
 * @param removed services that are gone
 * @param callersAdded services that may now call the own service
 * @param callersRemoved services that no longer may
 * @param resultDigest digest of the content after it
 */
public record UpdateMessage(
    ConfigVersion version,
    String baseDigest,
    List<ServiceSlice> changed,
    Set<String> removed,
    Set<String> callersAdded,
    Set<String> callersRemoved,
    String resultDigest)
    implements Message {

  /** Creates a message. */
  public UpdateMessage {
    changed = List.copyOf(changed);
    removed = Set.copyOf(removed);
    callersAdded = Set.copyOf(callersAdded);
    callersRemoved = Set.copyOf(callersRemoved);
  }
}
