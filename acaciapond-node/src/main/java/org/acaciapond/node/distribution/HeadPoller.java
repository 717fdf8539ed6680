package org.acaciapond.node.distribution;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.acaciapond.common.lifecycle.ManagedService;
import org.acaciapond.config.model.MeshConfig;
import org.acaciapond.config.snapshot.Scope;
import org.acaciapond.config.snapshot.Snapshot;
import org.acaciapond.config.snapshot.SnapshotHolder;
import org.acaciapond.config.text.ConfigTextParser;
import org.acaciapond.config.version.ConfigCodec;
import org.acaciapond.config.version.ConfigVersion;
import org.acaciapond.config.version.ServiceSlice;
import org.acaciapond.platform.client.ConfigHead;
import org.acaciapond.platform.client.EditHistory;
import org.acaciapond.platform.client.HeadState;
import org.acaciapond.platform.client.PlatformClient;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Service that reads the head from the platform and activates newer versions. */
public final class HeadPoller implements ManagedService {

  private static final Logger LOG = LogManager.getLogger(HeadPoller.class);

  private final Vertx vertx;
  private final PlatformClient platform;
  private final SnapshotHolder holder;
  private final String ownService;
  private final long intervalMs;
  private final AtomicBoolean readPending = new AtomicBoolean();
  private long timerId;

  /**
   * Creates a poller.
   *
   * @param vertx timers
   * @param platform table and object store
   * @param holder active snapshot
   * @param ownService service of the target on this host
   * @param intervalMs time between reads of the head
   */
  public HeadPoller(
      Vertx vertx,
      PlatformClient platform,
      SnapshotHolder holder,
      String ownService,
      long intervalMs) {
    this.vertx = vertx;
    this.platform = platform;
    this.holder = holder;
    this.ownService = ownService;
    this.intervalMs = intervalMs;
  }

  @Override
  public Uni<Void> start() {
    timerId = vertx.setPeriodic(0, intervalMs, id -> poll());
    return Uni.createFrom().voidItem();
  }

  @Override
  public Uni<Void> stop() {
    vertx.cancelTimer(timerId);
    return Uni.createFrom().voidItem();
  }

  private void poll() {
    if (!readPending.compareAndSet(false, true)) {
      return;
    }
    HeadState.read(platform)
        .chain(
            head ->
                head.version().isAfter(holder.current().version())
                    ? fetch(head.parent())
                    : Uni.createFrom().voidItem())
        .onTermination()
        .invoke(() -> readPending.set(false))
        .subscribe()
        .with(
            ignored -> {},
            error -> LOG.debug("Cannot read the configuration head from the platform", error));
  }

  private Uni<Void> fetch(ConfigHead head) {
    return EditHistory.readText(platform, head)
        .invoke(text -> activate(head.version(), text))
        .replaceWithVoid();
  }

  private void activate(ConfigVersion version, String text) {
    MeshConfig config = ConfigTextParser.parse(text);
    List<ServiceSlice> slices = config.services().stream().map(ConfigCodec::slice).toList();
    Snapshot snapshot = Snapshot.build(version, Scope.of(ownService, config), slices);
    if (holder.offer(snapshot)) {
      LOG.info("Activated configuration version {}", version.sequence());
    }
  }
}
