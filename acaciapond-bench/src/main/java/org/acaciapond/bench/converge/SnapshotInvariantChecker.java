package org.acaciapond.bench.converge;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.atomic.LongAdder;
import org.acaciapond.config.model.RouteConfig;
import org.acaciapond.config.model.ServiceConfig;
import org.acaciapond.config.snapshot.Snapshot;
import org.acaciapond.config.version.ConfigVersion;

/**
 * Checker of the snapshot invariants: versions never decrease (I1), and all referenced services and
 * versions exist (I2).
 *
 * <p>It runs on each snapshot update, independently of the checks in the nodes.
 */
final class SnapshotInvariantChecker {

  private final LongAdder regressedVersions = new LongAdder();
  private final LongAdder danglingReferences = new LongAdder();

  /** Checks that the version of a new snapshot is later and that all its references exist. */
  void checkUpdate(ConfigVersion previousVersion, Snapshot snapshot) {
    if (!snapshot.version().isAfter(previousVersion)) {
      regressedVersions.increment();
    }
    ServiceConfig ownService = snapshot.service(snapshot.scope().ownService());
    if (ownService != null && !snapshot.services().keySet().containsAll(ownService.dependsOn())) {
      danglingReferences.increment();
    }
    snapshot.services().values().forEach(this::checkVersionReferences);
  }

  /** Checks that a snapshot is not older than a version that the host had before a restart. */
  void checkNotBelow(ConfigVersion minimumVersion, Snapshot snapshot) {
    if (minimumVersion.isAfter(snapshot.version())) {
      regressedVersions.increment();
    }
  }

  private void checkVersionReferences(ServiceConfig service) {
    Set<String> versions = new HashSet<>();
    service.versions().forEach(version -> versions.add(version.name()));
    if (!versions.contains(service.currentVersion())) {
      danglingReferences.increment();
    }
    for (RouteConfig route : service.routes()) {
      String routeVersion = route.version();
      if (routeVersion != null && !versions.contains(routeVersion)) {
        danglingReferences.increment();
      }
    }
  }

  long regressedCount() {
    return regressedVersions.sum();
  }

  long danglingCount() {
    return danglingReferences.sum();
  }
}
