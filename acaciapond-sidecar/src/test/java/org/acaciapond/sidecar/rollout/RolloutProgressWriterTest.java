package org.acaciapond.sidecar.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.acaciapond.adapter.HttpMeshStore;
import org.acaciapond.adapter.JsonPlatformCodec;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.mesh.platform.SocketAddressSetting;
import org.acaciapond.mesh.rollout.RolloutOrder;
import org.acaciapond.mesh.rollout.RolloutState;
import org.acaciapond.mesh.store.StoreVersion;
import org.acaciapond.sidecar.telemetry.EventLog;
import org.acaciapond.standin.StandInStore;
import org.acaciapond.standin.StoreFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RolloutProgressWriterTest {

  private static final String HOST = "127.0.0.1";
  private static final Duration WAIT = Duration.ofSeconds(20);

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final StandInStore store = new StandInStore(vertx, HOST, 0, TimeSource.system());
  private final BlockingQueue<RolloutState> ended = new LinkedBlockingQueue<>();
  private final EventLog log =
      new EventLog(
          "n",
          new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8),
          TimeSource.system());

  RolloutProgressWriterTest() {
    store.start().await().atMost(WAIT);
  }

  @AfterEach
  void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private RolloutProgressWriter createWriter() {
    return new RolloutProgressWriter(
        vertx,
        new HttpMeshStore(vertx, new SocketAddressSetting(HOST, store.port()), TimeSource.system()),
        new JsonPlatformCodec(1 << 20),
        new RolloutOrder("s", "v2", 16_000, new StoreVersion(1, 0).toNumber()),
        (progress, rowVersion) -> ended.add(progress.state()),
        log);
  }

  /**
   * Guards against two analyzers that end one rollout differently around a hand-over: old targets
   * would stop although the version was taken back.
   */
  @ParameterizedTest
  @ValueSource(ints = {2, 5})
  void onlyOneOfSeveralAnalyzersEndsTheRollout(int writers) throws InterruptedException {
    vertx.runOnContext(
        on -> {
          for (int i = 0; i < writers; i++) {
            createWriter()
                .setDesiredState(i % 2 == 0 ? RolloutState.COMPLETED : RolloutState.TAKEN_BACK);
          }
        });
    // All but the one that wrote the row learn its content.
    List<RolloutState> learned = new ArrayList<>();
    for (int i = 1; i < writers; i++) {
      learned.add(ended.poll(WAIT.toSeconds(), TimeUnit.SECONDS));
    }
    assertEquals(1, learned.stream().distinct().count(), learned.toString());
  }

  /** Guards against a second end after a write whose response was lost. */
  @Test
  void lostResponseOfAWriteDoesNotEndTheRolloutAgain() throws InterruptedException {
    store.setFault(StoreFault.LOST_WRITES);
    RolloutProgressWriter first = createWriter();
    RolloutProgressWriter second = createWriter();
    vertx.runOnContext(on -> first.setDesiredState(RolloutState.TAKEN_BACK));
    vertx.setTimer(
        500,
        id -> {
          store.setFault(StoreFault.NONE);
          second.setDesiredState(RolloutState.COMPLETED);
        });
    assertEquals(RolloutState.TAKEN_BACK, ended.poll(WAIT.toSeconds(), TimeUnit.SECONDS));
    assertEquals(RolloutState.TAKEN_BACK, ended.poll(WAIT.toSeconds(), TimeUnit.SECONDS));
  }
}
