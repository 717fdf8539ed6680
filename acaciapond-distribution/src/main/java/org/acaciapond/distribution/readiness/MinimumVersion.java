package org.acaciapond.distribution.readiness;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.acaciapond.config.version.ConfigVersion;

/** Version that a starting node must reach before it is ready. */
public final class MinimumVersion {

  private final Map<String, ConfigVersion> answers = new HashMap<>();
  private Set<String> asked = Set.of();
  private Optional<ConfigVersion> decided = Optional.empty();

  /** Names the replicas of the domain without this node; those asked before may be among them. */
  public void setReplicas(Collection<String> hostIds) {
    asked = Set.copyOf(hostIds);
    decide();
  }

  /** Records the highest version that a replica holds. */
  public void onAnswer(String hostId, ConfigVersion held) {
    answers.put(hostId, held);
    decide();
  }

  /** Records the head of the platform, which no version in force can be after. */
  public void onPlatformHead(ConfigVersion head) {
    if (decided.isEmpty()) {
      decided = Optional.of(head);
    }
  }

  /** All replicas but one must answer, and at least one, so that silence does not make a floor. */
  private void decide() {
    int needed = Math.max(1, asked.size() - 1);
    long answered = asked.stream().filter(answers::containsKey).count();
    if (decided.isEmpty() && answered >= needed) {
      decided = answers.values().stream().max(ConfigVersion::compareTo);
    }
  }

  /** Returns the floor once it is known. */
  public Optional<ConfigVersion> floor() {
    return decided;
  }

  /** Returns why the floor is not known yet. */
  public String waitingFor() {
    if (asked.isEmpty()) {
      return "no other node of the failure domain and no platform";
    }
    return "answers of the nodes that hold the configuration: "
        + answers.size()
        + " of "
        + asked.size();
  }
}
