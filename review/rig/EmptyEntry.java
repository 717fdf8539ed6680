import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Another writer leaves an entry without bytes in the table of nodes. */
final class EmptyEntry {

  private static final int REQUESTS = 200;

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
    Rig.main(args[0], EmptyEntry::run);
  }

  private static int run(Rig rig) throws IOException, InterruptedException {
    rig.store.put("op", "config", STATE);
    if (rig.trouble) {
      rig.store.put("nodes", "other-writer", "");
    }
    Rig.Machine a = rig.machine("a1", "z1", "alpha", "v1", 100);
    rig.machine("b1", "z1", "beta", "v1", 100);
    rig.machine("c1", "z2", "beta", "v1", 100);
    if (!rig.start()) {
      return Rig.EXIT_NOT_RUN;
    }
    Rig.sleep(8_000);
    List<Rig.Answer> answers = Collections.synchronizedList(new ArrayList<>());
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      clients.add(
          rig.spawn(
              "client",
              () ->
                  answers.add(
                      a.request("POST", "/orders/1", rig.nextId(), 3_000, new byte[300]))));
      Rig.sleep(100);
    }
    for (Thread each : clients) {
      each.join(10_000);
    }
    long served = answers.stream().filter(each -> each.status() == 200).count();
    rig.note("requests " + answers.size() + ", served " + served);
    return served == 0 ? Rig.EXIT_BROKEN : Rig.EXIT_HELD;
  }
}
