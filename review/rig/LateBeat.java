import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** An upstream leaves, all processes are killed, and a check-in sent before arrives late. */
final class LateBeat {

  private static final String STATE =
      """
      {"version":7,
       "routes":{"columns":["name","host","path_prefix","kind","timeout_ms","target_latency_ms",
         "priority","service","max_attempts"],
        "rows":[["r1","mesh.example","/orders/","non_idempotent",3000,800,1,"beta",2]]},
       "services":{"columns":["name","health_check_path","max_connections"],
        "rows":[["alpha","/health",130],["beta","/health",130]]},
       "limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,
        "idle_timeout_ms":15000}}
      """;

  public static void main(String[] args) {
    Rig.main(args[0], LateBeat::run);
  }

  private static int run(Rig rig) throws IOException, InterruptedException {
    rig.store.put("op", "config", STATE);
    Rig.Machine a = rig.machine("a1", "z1", "alpha", "v1", 100);
    Rig.Machine b = rig.machine("b1", "z1", "beta", "v1", 100);
    Rig.Machine c = rig.machine("c1", "z2", "beta", "v1", 100);
    if (!rig.start()) {
      return Rig.EXIT_NOT_RUN;
    }
    for (int i = 0; i < 5; i++) {
      a.request("POST", "/orders/1", rig.nextId(), 3_000, new byte[300]);
    }
    // b1 leaves without ever reporting that it drains. The last check-in it sent before is late.
    b.upstream.beating = false;
    String late = b.upstream.beatBody();
    rig.note(b.upstream.id + " sends a check-in that is under way for seconds: " + late);
    Rig.sleep(100);
    if (!b.upstream.deregister()) {
      return Rig.EXIT_NOT_RUN;
    }
    long confirmedMs = rig.ms();
    if (rig.trouble) {
      for (Rig.Machine each : rig.machines) {
        each.signal("KILL");
      }
      Rig.sleep(500);
      for (Rig.Machine each : rig.machines) {
        each.startNode();
      }
    }
    if (!rig.awaitReady(20_000)) {
      return Rig.EXIT_NOT_RUN;
    }
    rig.sleepUntil(confirmedMs + 3_000);
    b.upstream.tell("instances.heartbeat", late);
    // All machines are in touch again contact_ms after their start; b1 still serves.
    rig.sleepUntil(rig.ms() + Rig.CONTACT_MS + 500);
    long fromMs = rig.ms();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      clients.add(
          rig.spawn(
              "client",
              () -> a.request("POST", "/orders/1", rig.nextId(), 3_000, new byte[300])));
      Rig.sleep(50);
    }
    for (Thread each : clients) {
      each.join(10_000);
    }
    long late2 = b.upstream.runs.stream().filter(run -> run.atMs() >= fromMs).count();
    for (Rig.Run run : b.upstream.runs) {
      if (run.atMs() >= fromMs) {
        rig.note("DRAIN: " + run.id() + " reached " + run.upstream() + " "
            + (run.atMs() - confirmedMs) + " ms after its leaving was confirmed");
      }
    }
    rig.note("requests that reached the upstream after drain_ms: " + late2);
    return late2 > 0 ? Rig.EXIT_BROKEN : Rig.EXIT_HELD;
  }
}
