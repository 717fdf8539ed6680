package org.acaciapond.node.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** Failures of the fault model, each begun by one action and ended by {@link FaultMesh#heal()}. */
enum Failure {
  /** Half of the nodes end at once and return at once. */
  GROUP_CRASHES(1_000, mesh -> FaultMesh.all(everySecond(mesh), Host::kill)),
  /** The holder of a poller lease ends. */
  POLLER_CRASHES(4_000, mesh -> mesh.poller("north").kill()),
  /** The holder of a poller lease is paused for longer than its lease of 3 s. */
  POLLER_PAUSES(5_000, mesh -> mesh.poller("south").freeze()),
  PLATFORM_DOWN(1_500, mesh -> mesh.platformFault("down", 0)),
  PLATFORM_SLOW(2_000, mesh -> mesh.platformFault("slow", 700)),
  ANSWERS_LOST(1_500, mesh -> mesh.platformFault("lose-answers", 0)),
  OPERATORS_RACE(500, Failure::race),
  UPDATES_CROSS(500, mesh -> repeat(12, mesh::edit)),
  DOMAIN_CUT(3_000, mesh -> mesh.cutDomain("west", true)),
  DOMAIN_CUT_FROM_PLATFORM(3_500, mesh -> mesh.cutDomain("north", false)),
  CONNECTIONS_SILENT(3_500, Failure::silence),
  TARGET_HANGS(2_000, mesh -> mesh.host("back-north").mood = Host.Mood.HANGS),
  TARGET_FAILS(1_000, mesh -> mesh.host("back-south").mood = Host.Mood.FAILS),
  TARGET_SHEDS(1_000, mesh -> mesh.host("back-west").mood = Host.Mood.SHEDS),
  TARGET_COLD(1_000, mesh -> mesh.host("back-north").mood = Host.Mood.COLD),
  /** Longer than the bound of I8, so that late work would show. */
  TARGET_LEAVES(7_000, mesh -> mesh.host("back-south").announce(true)),
  NODE_STOPS_AS_PLANNED(500, mesh -> mesh.host("back-west").stopAsPlanned()),
  CALLER_STOPS_AS_PLANNED(500, mesh -> mesh.host("front-west").stopAsPlanned());

  /** How long the failure lasts before it heals. */
  final long holdMs;

  private final Consumer<FaultMesh> action;

  Failure(long holdMs, Consumer<FaultMesh> action) {
    this.holdMs = holdMs;
    this.action = action;
  }

  boolean isPlannedStop() {
    return this == NODE_STOPS_AS_PLANNED || this == CALLER_STOPS_AS_PLANNED;
  }

  void begin(FaultMesh mesh) {
    if (!isPlannedStop()) {
      mesh.disturb();
    }
    action.accept(mesh);
  }

  private static List<Host> everySecond(FaultMesh mesh) {
    List<Host> running = mesh.running();
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

  private static void race(FaultMesh mesh) {
    CompletableFuture<Void> other = CompletableFuture.runAsync(() -> repeat(8, mesh::edit));
    repeat(8, mesh::edit);
    other.join();
  }

  private static void silence(FaultMesh mesh) {
    for (Host host : mesh.hosts) {
      if (!host.id.equals("front-north")) {
        mesh.network.silence(mesh.host("front-north").ip, host.ip);
      }
    }
  }
}
