package org.acaciapond.bench.converge;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.atomic.LongAdder;
import org.acaciapond.config.model.RouteConfig;
import org.acaciapond.config.model.ServiceConfig;
import org.acaciapond.config.snapshot.Snapshot;
import org.acaciapond.config.version.ConfigVersion;

/**
 * Check, at each change of a node's snapshot, that I1 and I2 hold; checks anew what nodes check.
 */
final class InvariantWatch {

  private final LongAdder regressed = new LongAdder();
  private final LongAdder dangling = new LongAdder();

  /** Checks a snapshot against the version that was in force before it. */
  void check(ConfigVersion before, Snapshot snapshot) {
    if (!snapshot.version().isAfter(before)) {
      regressed.increment();
    }
    ServiceConfig own = snapshot.service(snapshot.scope().ownService());
    if (own != null && !snapshot.services().keySet().containsAll(own.dependsOn())) {
      dangling.increment();
    }
    snapshot.services().values().forEach(this::checkVersions);
  }

  /** Checks that a node does not go below a version that its host had before a restart. */
  void checkFloor(ConfigVersion floor, Snapshot snapshot) {
    if (floor.isAfter(snapshot.version())) {
      regressed.increment();
    }
  }

  private void checkVersions(ServiceConfig service) {
    Set<String> versions = new HashSet<>();
    service.versions().forEach(version -> versions.add(version.name()));
    if (!versions.contains(service.currentVersion())) {
      dangling.increment();
    }
    for (RouteConfig route : service.routes()) {
      String pinned = route.version();
      if (pinned != null && !versions.contains(pinned)) {
        dangling.increment();
      }
    }
  }

  long regressedCount() {
    return regressed.sum();
  }

  long danglingCount() {
    return dangling.sum();
  }
}
