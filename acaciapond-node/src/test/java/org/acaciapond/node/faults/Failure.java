package org.acaciapond.node.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Failures of the fault model, each started by one action and ended by {@link FaultMesh#heal()}.
 */
enum Failure {
  /** Half of the nodes crash at the same time and restart at the same time. */
  GROUP_CRASHES(1_000, mesh -> FaultMesh.runInParallel(everySecondHost(mesh), Host::kill)),
  /** The node that holds a poller lease crashes. */
  POLLER_CRASHES(4_000, mesh -> mesh.pollerHost("north").kill()),
  /** The node that holds a poller lease is paused for longer than its lease of 3 s. */
  POLLER_PAUSES(5_000, mesh -> mesh.pollerHost("south").freeze()),
  PLATFORM_DOWN(1_500, mesh -> mesh.setPlatformFault("down", 0)),
  PLATFORM_SLOW(2_000, mesh -> mesh.setPlatformFault("slow", 700)),
  ANSWERS_LOST(1_500, mesh -> mesh.setPlatformFault("lose-answers", 0)),
  OPERATORS_RACE(500, Failure::publishConcurrently),
  UPDATES_CROSS(500, mesh -> repeat(12, mesh::publishEdit)),
  DOMAIN_CUT(3_000, mesh -> mesh.cutDomain("west", true)),
  DOMAIN_CUT_FROM_PLATFORM(3_500, mesh -> mesh.cutDomain("north", false)),
  CONNECTIONS_SILENT(3_500, Failure::silenceConnections),
  TARGET_HANGS(2_000, mesh -> mesh.host("back-north").targetBehavior = Host.TargetBehavior.HANGS),
  TARGET_FAILS(1_000, mesh -> mesh.host("back-south").targetBehavior = Host.TargetBehavior.FAILS),
  TARGET_SHEDS(1_000, mesh -> mesh.host("back-west").targetBehavior = Host.TargetBehavior.SHEDS),
  TARGET_COLD(1_000, mesh -> mesh.host("back-north").targetBehavior = Host.TargetBehavior.COLD),
  /** Lasts longer than the bound of I8, so that calls received after it are detected. */
  TARGET_LEAVES(7_000, mesh -> mesh.host("back-south").announce(true)),
  NODE_STOPS_AS_PLANNED(500, mesh -> mesh.host("back-west").stopAsPlanned()),
  CALLER_STOPS_AS_PLANNED(500, mesh -> mesh.host("front-west").stopAsPlanned());

  /** Duration of the failure until it is healed. */
  final long durationMs;

  private final Consumer<FaultMesh> action;

  Failure(long durationMs, Consumer<FaultMesh> action) {
    this.durationMs = durationMs;
    this.action = action;
  }

  boolean isPlannedStop() {
    return this == NODE_STOPS_AS_PLANNED || this == CALLER_STOPS_AS_PLANNED;
  }

  void begin(FaultMesh mesh) {
    if (!isPlannedStop()) {
      mesh.markFaultsActive();
    }
    action.accept(mesh);
  }

  private static List<Host> everySecondHost(FaultMesh mesh) {
    List<Host> running = mesh.runningHosts();
    List<Host> chosen = new ArrayList<>();
    for (int i = 0; i < running.size(); i += 2) {
      chosen.add(running.get(i));
    }
    return chosen;
  }

  private static void repeat(int times, Runnable work) {
    for (int i = 0; i < times; i++) {
      work.run();
    }
  }

  private static void publishConcurrently(FaultMesh mesh) {
    CompletableFuture<Void> other = CompletableFuture.runAsync(() -> repeat(8, mesh::publishEdit));
    repeat(8, mesh::publishEdit);
    other.join();
  }

  private static void silenceConnections(FaultMesh mesh) {
    for (Host host : mesh.hosts) {
      if (!host.id.equals("front-north")) {
        mesh.network.silence(mesh.host("front-north").ip, host.ip);
      }
    }
  }
}
