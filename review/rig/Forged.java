import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** A check-in of another writer, with a field missing, arrives before traffic starts. */
final class Forged {

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
    Rig.main(args[0], Forged::run);
  }

  private static int run(Rig rig) throws IOException, InterruptedException {
    rig.store.put("op", "config", STATE);
    Rig.Machine a = rig.machine("a1", "z1", "alpha", "v1", 100);
    Rig.Machine b = rig.machine("b1", "z1", "beta", "v1", 100);
    Rig.Machine c = rig.machine("c1", "z2", "beta", "v1", 100);
    if (!rig.start()) {
      return Rig.EXIT_NOT_RUN;
    }
    if (rig.trouble) {
      for (Rig.Machine each : List.of(b, c)) {
        each.upstream.tellAs(
            "i-other-" + each.name,
            "instances.heartbeat",
            "{\"service\":\"beta\",\"zone\":\"" + each.zone + "\",\"version\":\"v1\",\"slots\":12,"
                + "\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":"
                + System.currentTimeMillis() + "}");
      }
    }
    Rig.sleep(2 * Rig.BEAT_MS);
    List<Rig.Answer> answers = Collections.synchronizedList(new ArrayList<>());
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      clients.add(
          rig.spawn(
              "client",
              () -> answers.add(a.request("POST", "/orders/1", rig.nextId(), 3_000, new byte[300]))));
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
