package org.acaciapond.protocol.message;

import java.util.List;
import java.util.Set;
import org.acaciapond.config.version.ConfigVersion;
import org.acaciapond.config.version.ServiceSlice;

/**
 * Update of the content of a subscriber to a version.
 *
 * @param version version after the update
 * @param baseDigest digest of the content that the update applies to
 * @param changed slices that are new or differ
 * @param removed names of the services that are removed
 * @param callersAdded names of the services that may now call the scope's own service
 * @param callersRemoved names of the services that may no longer call it
 * @param resultDigest digest of the content after the update
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
