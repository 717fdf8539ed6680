import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Two stops of one machine: a rolling restart, and the end of its upstream a second later. */
final class TermTwice {

  private static final int TIMEOUT_MS = 3_000;
  private static final int GRACE_MS = 6_000;

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
    Rig.main(args[0], TermTwice::run);
  }

  private static int run(Rig rig) throws IOException, InterruptedException {
    rig.store.put("op", "config", STATE);
    Rig.Machine a = rig.machine("a1", "z1", "alpha", "v1", 300);
    Rig.Machine b = rig.machine("b1", "z1", "beta", "v1", 1_500);
    Rig.Machine c = rig.machine("c1", "z2", "beta", "v1", 1_500);
    // One of four upstreams of the service is taken away: a share of 0.25.
    for (String name : List.of("a2", "a3", "a4")) {
      rig.machine(name, "z2", "alpha", "v1", 300);
    }
    if (!rig.start()) {
      return Rig.EXIT_NOT_RUN;
    }
    // Planned: the upstream of a1 is emptied and taken away.
    a.upstream.state = "draining";
    if (!a.upstream.beat()) {
      return Rig.EXIT_NOT_RUN;
    }
    long start = rig.ms();
    List<Rig.Answer> answers = Collections.synchronizedList(new ArrayList<>());
    List<Thread> clients = new ArrayList<>();
    long stopMs = start + 2_500;
    for (int i = 0; i < 20; i++) {
      long at = start + 1_000 + i * 100;
      clients.add(
          rig.spawn(
              "client",
              () -> {
                rig.sleepUntil(at);
                answers.add(a.request("POST", "/orders/1", rig.nextId(), TIMEOUT_MS, new byte[300]));
              }));
    }
    long[] firstTermMs = {stopMs + 1_000};
    if (rig.trouble) {
      firstTermMs[0] = stopMs;
      rig.sleepUntil(stopMs);
      a.onExit(() -> {});
      a.signal("TERM");
      rig.sleepUntil(stopMs + 1_000);
    } else {
      rig.sleepUntil(stopMs + 1_000);
      a.onExit(() -> {});
    }
    // The upstream has ended; its node receives SIGTERM.
    a.upstream.deregister();
    a.upstream.close();
    long secondMs = rig.ms();
    a.signal("TERM");
    for (Thread each : clients) {
      each.join(10_000);
    }
    int lost = 0;
    for (Rig.Answer answer : answers) {
      boolean ran = false;
      for (Rig.Machine each : List.of(b, c)) {
        for (Rig.Run run : each.upstream.runs) {
          ran |= run.id().equals(answer.id());
        }
      }
      // Not counted: the deadline or the route's timeout was reached, or the upstream was still at
      // work in the last sixth of grace_s.
      boolean excused =
          answer.endMs() - answer.sentMs() >= TIMEOUT_MS
              || answer.endMs() - firstTermMs[0] >= GRACE_MS * 5 / 6;
      boolean cut = answer.status() == 0 && ran && !excused;
      lost += cut ? 1 : 0;
      if (cut) {
        rig.note("LOST: " + answer.id() + " was passed on and its connection ended unanswered, "
            + (answer.endMs() - secondMs) + " ms after the second SIGTERM");
      }
    }
    rig.note("requests " + answers.size() + ", passed on and cut " + lost);
    return lost > 0 ? Rig.EXIT_BROKEN : Rig.EXIT_HELD;
  }
}
