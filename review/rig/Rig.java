import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Small deployment on loopback: the project's node as separate processes, started with the command
 * of deploy/system.toml, beside stand-ins of the store, of upstreams and of clients that follow
 * the pages. Every machine has a loopback address of its own; ports are the same on all machines.
 */
final class Rig implements AutoCloseable {

  static final int EXIT_HELD = 0;
  static final int EXIT_BROKEN = 1;
  static final int EXIT_NOT_RUN = 2;

  static final int DRAIN_MS = 2_000;
  static final int CONTACT_MS = 3_000;
  static final int BEAT_MS = 1_500;
  private static final int MAX_UNREAD_MS = 1_000;
  private static final int MAX_RUN_MS = 115_000;

  final Path folder;
  final boolean trouble;
  final Store store;
  final List<Machine> machines = new ArrayList<>();
  final String prefix;
  private final long zeroNanos = System.nanoTime();
  private final PrintWriter record;
  private final int firstPort;
  private final AtomicLong ids = new AtomicLong();

  Rig(Path caseFolder) throws IOException {
    folder = Files.createTempDirectory("review-");
    trouble = !"0".equals(System.getenv("TROUBLE"));
    record =
        new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
    int a = 64 + (int) (Math.random() * 128);
    int b = 1 + (int) (Math.random() * 250);
    prefix = "127." + a + "." + b + ".";
    firstPort = freePorts(prefix + "1", 8);
    store = new Store(this, prefix + "2", firstPort);
    note("disruption " + (trouble ? "on" : "off"));
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    Thread watchdog =
        new Thread(
            () -> {
              sleep(MAX_RUN_MS);
              note("not finished in " + MAX_RUN_MS + " ms");
              System.exit(EXIT_NOT_RUN);
            });
    watchdog.setDaemon(true);
    watchdog.start();
  }

  /** Runs a case, records the result and ends the process with its exit code. */
  static void main(String caseFolder, Case body) {
    int exit = EXIT_NOT_RUN;
    try (Rig rig = new Rig(Path.of(caseFolder))) {
      exit = body.run(rig);
      rig.note("exit " + exit);
    } catch (IOException | InterruptedException e) {
      System.err.println("the case could not run: " + e);
    }
    System.exit(exit);
  }

  /** One case; returns its exit code. */
  interface Case {
    int run(Rig rig) throws IOException, InterruptedException;
  }

  private static int freePorts(String host, int count) throws IOException {
    for (int tries = 0; tries < 200; tries++) {
      int first = 21_000 + (int) (Math.random() * 9_000);
      boolean free = true;
      for (int i = 0; free && i < count; i++) {
        try (ServerSocket socket = new ServerSocket()) {
          socket.bind(new InetSocketAddress(host, first + i));
        } catch (IOException e) {
          free = false;
        }
      }
      if (free) {
        return first;
      }
    }
    throw new IOException("no free ports");
  }

  /** Milliseconds since the start of the run. */
  long ms() {
    return (System.nanoTime() - zeroNanos) / 1_000_000;
  }

  synchronized void note(String text) {
    record.println(String.format(Locale.ROOT, "%9.3f  %s", ms() / 1000.0, text));
  }

  String nextId() {
    return Long.toHexString(0x5eed_0000_0000L + ids.incrementAndGet());
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(Math.max(0, ms));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  void sleepUntil(long ms) {
    sleep(ms - ms());
  }

  Thread spawn(String name, Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // The peer of this thread has gone.
              }
            },
            name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  interface Task {
    void run() throws IOException;
  }

  Machine machine(String name, String zone, String service, String version, int workMs)
      throws IOException {
    Machine machine = new Machine(this, name, zone, service, prefix + (10 + machines.size()));
    machine.upstream = new Upstream(this, machine, "i-" + name, service, version, workMs);
    machines.add(machine);
    return machine;
  }

  int port(int offset) {
    return firstPort + offset;
  }

  /** Waits until all nodes are ready; returns whether they are. */
  boolean awaitReady(long timeoutMs) {
    long end = ms() + timeoutMs;
    for (Machine machine : machines) {
      while (!machine.isReady()) {
        if (ms() > end) {
          note(machine.name + " is not ready");
          return false;
        }
        sleep(100);
      }
    }
    return true;
  }

  /** Starts the upstreams, the nodes and, once all nodes are ready, the check-ins. */
  boolean start() throws IOException {
    for (Machine each : machines) {
      each.upstream.start();
      each.startNode();
    }
    if (!awaitReady(20_000)) {
      return false;
    }
    for (Machine each : machines) {
      each.upstream.startBeats();
      each.startReadyChecks();
    }
    sleep(CONTACT_MS + 1_000);
    return true;
  }

  private void endProcesses() {
    for (Machine machine : machines) {
      Process current = machine.process;
      if (current != null) {
        current.destroyForcibly();
      }
    }
  }

  @Override
  public void close() {
    for (Machine machine : machines) {
      machine.stopForGood();
    }
    store.close();
    record.close();
    try (java.util.stream.Stream<Path> files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.deleteIfExists(file);
      }
      Files.deleteIfExists(folder);
    } catch (IOException e) {
      // Files that stay in the temporary folder do no harm.
    }
  }

  /** A machine with a node and an upstream. */
  static final class Machine {
    final Rig rig;
    final String name;
    final String zone;
    final String service;
    final String ip;
    Upstream upstream;
    volatile Process process;
    // Whether the platform counts the node as ready: two misses in a row take it out.
    volatile boolean in = true;
    private int starts;

    Machine(Rig rig, String name, String zone, String service, String ip) {
      this.rig = rig;
      this.name = name;
      this.zone = zone;
      this.service = service;
      this.ip = ip;
    }

    int outboundPort() {
      return rig.port(2);
    }

    int readyPort() {
      return rig.port(3);
    }

    int controlPort() {
      return rig.port(4);
    }

    int appPort() {
      return rig.port(5);
    }

    private String settings(boolean bootstrap) {
      return String.join(
          "\n",
          "node=" + name,
          "role=node",
          "machine_class=sidecar",
          "serves=sidecar",
          "ip=" + ip,
          "zone=" + zone,
          "region=r",
          "zones." + zone + "=r",
          "listen.inbound=" + ip + ":" + rig.port(1),
          "listen.outbound=" + ip + ":" + outboundPort(),
          "listen.ready=" + ip + ":" + readyPort(),
          "listen.control=" + ip + ":" + controlPort(),
          "internal_ports=" + rig.port(6) + "," + rig.port(7),
          "seeds=",
          "bootstrap=" + bootstrap,
          "in_fault_budget=false",
          "limits.cpu_share=0.6",
          "limits.cores=1",
          "limits.memory_mb=430",
          "limits.max_fds=4100",
          "limits.link_mbps=1000.0",
          "limits.disk_mb=0",
          "discovery=static",
          "entry=static",
          "heartbeat_ms=" + BEAT_MS,
          "contracts=base,drain,config,cost,retry,recover,rollout,platform",
          "fault_tolerance.machines=1",
          "fault_tolerance.zones=1",
          "fault_tolerance.regions=0",
          "bounds=seed_lag_s=3,addr_reuse_s=2,contact_ms=3000,ack_ms=4000,catch_up_s=4,"
              + "drain_ms=2000,grace_s=6,loss_slack_ms=200,config_apply_ms=2000,"
              + "rollback_slack_ms=250,skew_max_ms=5000,retry_budget_ratio=0.2,budget_window_s=10,"
              + "retry_budget_slack=62,canary_share=0.1,canary_slack=50,rollback_ms=5000,"
              + "recover_s=15",
          "app_address=" + ip + ":" + appPort(),
          "service=" + service,
          "platform.address=" + rig.store.host + ":" + rig.store.port,
          "platform.form=table",
          "platform.writes_per_s=400",
          "platform.reads_per_s=2000",
          "platform.tx_ms=8.0",
          "platform.part_writes_s=150",
          "platform.row_bytes=65536",
          "platform.across=false",
          "platform.history_s=20",
          "platform.blob_bytes=8388608",
          "platform.blob_ms=25.0",
          "platform.blob_mb_s=80.0",
          "");
    }

    /** Starts the node with the command of the deploy file. */
    void startNode() throws IOException {
      Path file = rig.folder.resolve(name + ".conf");
      Files.writeString(file, settings(starts == 0));
      starts++;
      ProcessBuilder builder = new ProcessBuilder(command());
      Map<String, String> environment = builder.environment();
      environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
      environment.put("ACACIAPOND_BOOT", file.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(
          ProcessBuilder.Redirect.appendTo(rig.folder.resolve(name + ".log").toFile()));
      process = builder.start();
      rig.note(name + ": node started");
    }

    private static List<String> command() throws IOException {
      for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
        Matcher matcher = Pattern.compile("run = \"(.*)\"").matcher(line.trim());
        if (matcher.matches()) {
          return List.of(matcher.group(1).split(" "));
        }
      }
      throw new IOException("no run command in deploy/system.toml");
    }

    void signal(String name) throws IOException {
      Process current = process;
      if (current != null && current.isAlive()) {
        rig.note(this.name + ": SIG" + name + " to the node");
        Process kill =
            new ProcessBuilder("sh", "-c", "kill -" + name + " " + current.pid()).start();
        try {
          kill.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          throw new IllegalStateException(e);
        }
      }
    }

    /** Records the end of the node's process and, if wanted, starts it again. */
    void onExit(Runnable next) {
      Process current = process;
      rig.spawn(
          name + "-exit",
          () -> {
            try {
              int code = current.waitFor();
              rig.note(name + ": node ended with " + code);
              next.run();
            } catch (InterruptedException e) {
              throw new IllegalStateException(e);
            }
          });
    }

    boolean isReady() {
      try {
        Http.Message answer =
            Http.call(ip, readyPort(), "GET", "/v1/ready", List.of(), new byte[0], 1_000);
        return answer.status() == 200;
      } catch (IOException e) {
        return false;
      }
    }

    /** Asks the node once a second whether it is ready, as the platform does. */
    private void startReadyChecks() {
      rig.spawn(
          name + "-ready",
          () -> {
            int misses = 0;
            while (true) {
              misses = isReady() ? 0 : misses + 1;
              boolean now = misses < 2;
              if (now != in) {
                rig.note(name + (now ? " counts as ready again" : " is out after two misses"));
                in = now;
              }
              sleep(1_000);
            }
          });
    }

    void stopForGood() {
      if (upstream != null) {
        upstream.close();
      }
      Process current = process;
      if (current != null) {
        current.destroyForcibly();
        try {
          current.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          throw new IllegalStateException(e);
        }
      }
    }

    /** Sends one request of a client on this machine, on a new connection. */
    Answer request(String method, String path, String id, int timeoutMs, byte[] body) {
      rig.note("client on " + name + " sends " + id + " " + method + " " + path);
      long sentMs = rig.ms();
      Answer answer;
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress(ip, outboundPort()), 1_000);
        sentMs = rig.ms();
        // A client gives up an attempt that the node does not read within a second.
        boolean[] written = {false, false};
        rig.spawn(
            "reading-watch",
            () -> {
              sleep(MAX_UNREAD_MS);
              synchronized (written) {
                if (!written[0]) {
                  written[1] = true;
                  socket.close();
                }
              }
            });
        try {
          Http.writeRequest(
              socket.getOutputStream(),
              method,
              path,
              List.of("Host", "mesh.example", "X-Attempt-Id", id, "X-Timeout-Ms", "" + timeoutMs),
              body);
        } finally {
          synchronized (written) {
            written[0] = true;
          }
        }
        if (written[1]) {
          throw new IOException("not read");
        }
        socket.setSoTimeout(timeoutMs + 1_000);
        try {
          Http.Message message = Http.read(new BufferedInputStream(socket.getInputStream()));
          answer = new Answer(id, name, sentMs, rig.ms(), message.status(), message, true);
        } catch (IOException e) {
          answer = new Answer(id, name, sentMs, rig.ms(), 0, null, true);
        }
      } catch (IOException e) {
        answer = new Answer(id, name, sentMs, rig.ms(), -1, null, false);
      }
      rig.note(
          "client on "
              + name
              + " gets for "
              + id
              + ": "
              + (answer.status > 0
                  ? "status "
                      + answer.status
                      + (answer.message.header("X-Server-Signature") == null ? "" : ", signed")
                  : answer.status == 0 ? "no answer" : "no connection, or not read"));
      return answer;
    }
  }

  /** Result of a request: status, 0 if none came, -1 without a connection or if it was not read. */
  record Answer(
      String id,
      String machine,
      long sentMs,
      long endMs,
      int status,
      Http.Message message,
      boolean sent) {}

  /** One run of a request at an upstream. */
  record Run(String id, String upstream, String caller, long atMs, String line) {}

  /** Stand-in of an upstream. */
  static final class Upstream {
    final Rig rig;
    final Machine machine;
    final String service;
    final String version;
    volatile String id;
    volatile int workMs;
    volatile int slots = 12;
    volatile String state = "ready";
    volatile long born = System.currentTimeMillis();
    volatile boolean beating;
    volatile boolean failing;
    volatile int answerBytes = 400;
    final AtomicLong sequence = new AtomicLong();
    final List<Run> runs = Collections.synchronizedList(new ArrayList<>());
    final Map<String, Long> atWork = new ConcurrentHashMap<>();
    private volatile ServerSocket server;
    private final List<Socket> sockets = Collections.synchronizedList(new ArrayList<>());

    Upstream(Rig rig, Machine machine, String id, String service, String version, int workMs) {
      this.rig = rig;
      this.machine = machine;
      this.id = id;
      this.service = service;
      this.version = version;
      this.workMs = workMs;
    }

    void start() throws IOException {
      server = new ServerSocket();
      server.setReuseAddress(true);
      server.bind(new InetSocketAddress(machine.ip, machine.appPort()));
      ServerSocket current = server;
      rig.spawn(
          id,
          () -> {
            while (!current.isClosed()) {
              Socket socket = current.accept();
              sockets.add(socket);
              rig.spawn(id + "-connection", () -> serve(socket));
            }
          });
    }

    void startBeats() {
      beating = true;
      rig.spawn(
          id + "-beats",
          () -> {
            while (beating) {
              beat();
              sleep(BEAT_MS);
            }
          });
    }

    String beatBody() {
      return "{\"service\":\"" + service + "\",\"address\":\"" + machine.ip + ":"
          + machine.appPort() + "\",\"zone\":\"" + machine.zone + "\",\"version\":\"" + version
          + "\",\"slots\":" + slots + ",\"state\":\"" + state + "\",\"cold_remaining_ms\":0,"
          + "\"sequence\":" + sequence.incrementAndGet() + ",\"born\":" + born + "}";
    }

    /** Sends one check-in; returns whether it was acknowledged. */
    boolean beat() {
      return tell("instances.heartbeat", beatBody());
    }

    /** Deregisters; returns whether it was acknowledged. */
    boolean deregister() {
      return tell("instances.deregister", "");
    }

    boolean tell(String call, String body) {
      return tellAs(id, call, body);
    }

    /** Sends a message that names an id to the control address of this machine. */
    boolean tellAs(String id, String call, String body) {
      try {
        Http.Message answer =
            Http.call(
                machine.ip,
                machine.controlPort(),
                "POST",
                "/v1/rpc?call=" + call + "&of=" + id,
                List.of("Host", machine.ip, "Content-Type", "application/json"),
                body.getBytes(StandardCharsets.UTF_8),
                1_000);
        boolean acknowledged = answer.status() / 100 == 2;
        rig.note(id + " " + call + " " + body + " -> " + answer.status());
        return acknowledged;
      } catch (IOException e) {
        rig.note(id + " " + call + " -> no answer");
        return false;
      }
    }

    private void serve(Socket socket) throws IOException {
      try (socket) {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        while (true) {
          Http.Message request = Http.read(in);
          if (!answer(request, out)) {
            return;
          }
        }
      }
    }

    private boolean answer(Http.Message request, OutputStream out) throws IOException {
      String attempt = request.header("X-Attempt-Id");
      String path = request.first().split(" ")[1];
      if (path.equals("/health")) {
        Http.writeAnswer(out, 200, List.of("X-Instance-Id", id), new byte[0]);
        return true;
      }
      if (attempt == null) {
        Http.writeAnswer(out, 400, List.of("X-Not-Executed", "1"), new byte[0]);
        return true;
      }
      String target = request.header("X-Target-Instance");
      if (target != null && !target.equals(id)) {
        Http.writeAnswer(out, 421, List.of("X-Attempt-Id", attempt, "X-Instance-Id", id), new byte[0]);
        return true;
      }
      if (atWork.size() >= slots + 36) {
        Http.writeAnswer(
            out, 503, List.of("X-Attempt-Id", attempt, "X-Not-Executed", "1"), new byte[0]);
        return true;
      }
      rig.note(id + " (" + service + ") runs " + attempt + " " + request.first());
      runs.add(
          new Run(attempt, id, request.header("X-Caller-Service"), rig.ms(), request.first()));
      atWork.put(attempt, rig.ms());
      sleep(workMs);
      atWork.remove(attempt);
      int status = failing ? 500 : 200;
      rig.note(id + " answers " + attempt + " with " + status);
      Http.writeAnswer(
          out,
          status,
          List.of("X-Attempt-Id", attempt, "X-Server-Signature", "sig." + id + "." + attempt),
          new byte[answerBytes]);
      return true;
    }

    /** Ends the upstream: closes its address and all its connections. */
    void close() {
      beating = false;
      try {
        ServerSocket current = server;
        if (current != null) {
          current.close();
        }
        synchronized (sockets) {
          for (Socket socket : sockets) {
            socket.close();
          }
        }
      } catch (IOException e) {
        // It is closed already.
      }
    }
  }

  /** Stand-in of the platform's metadata store. */
  static final class Store {
    final Rig rig;
    final String host;
    final int port;
    private final ServerSocket server;
    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private final List<Row> history = new ArrayList<>();
    private long version = 100;

    record Row(String table, String part, String key, String value, long version) {
      String json() {
        return "{\"table\":" + Json.quote(table) + ",\"part\":" + Json.quote(part) + ",\"key\":"
            + Json.quote(key) + ",\"ver\":" + version
            + (value == null ? ",\"tombstone\":true}" : ",\"value\":" + Json.quote(value) + "}");
      }
    }

    Store(Rig rig, String host, int port) throws IOException {
      this.rig = rig;
      this.host = host;
      this.port = port;
      server = new ServerSocket();
      server.setReuseAddress(true);
      server.bind(new InetSocketAddress(host, port));
      rig.spawn(
          "store",
          () -> {
            while (!server.isClosed()) {
              Socket socket = server.accept();
              rig.spawn("store-connection", () -> serve(socket));
            }
          });
    }

    /** Writes a row as the operator does; returns its version. */
    synchronized long put(String table, String key, String json) {
      version++;
      store(
          new Row(
              table,
              "",
              key,
              Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)),
              version));
      rig.note("operator writes " + table + "/" + key + ", row version " + version);
      notifyAll();
      return version;
    }

    synchronized String text(String table, String key) {
      Row row = tables.getOrDefault(table, new TreeMap<>()).get("\u0000" + key);
      return row == null || row.value == null
          ? null
          : new String(Base64.getDecoder().decode(row.value), StandardCharsets.UTF_8);
    }

    private void store(Row row) {
      TreeMap<String, Row> table = tables.computeIfAbsent(row.table, name -> new TreeMap<>());
      if (row.value == null) {
        table.remove(row.part + '\u0000' + row.key);
      } else {
        table.put(row.part + '\u0000' + row.key, row);
      }
      history.add(row);
    }

    private void serve(Socket socket) throws IOException {
      try (socket) {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        while (true) {
          Http.Message request = Http.read(in);
          String target = request.first().split(" ")[1];
          int question = target.indexOf('?');
          String path = question < 0 ? target : target.substring(0, question);
          Map<String, String> query = Http.query(question < 0 ? "" : target.substring(question + 1));
          sleep(4);
          String[] answer = {"404", "{}"};
          if (path.equals("/v1/rows-get")) {
            answer = get(query);
          } else if (path.equals("/v1/rows-feed")) {
            answer = feed(query);
          } else if (path.equals("/v1/rows-tx")) {
            answer = transact(new String(request.body(), StandardCharsets.UTF_8));
          }
          Http.writeAnswer(
              socket.getOutputStream(),
              Integer.parseInt(answer[0]),
              List.of("Content-Type", "application/json"),
              answer[1].getBytes(StandardCharsets.UTF_8));
        }
      }
    }

    private String tail() {
      return "\"ver\":" + version + ",\"now_ms\":" + rig.ms() + "}";
    }

    private synchronized String[] get(Map<String, String> query) {
      List<String> rows = new ArrayList<>();
      String from = query.getOrDefault("from", "");
      for (Row row :
          tables.getOrDefault(query.getOrDefault("table", ""), new TreeMap<>()).values()) {
        if (row.part.equals(query.getOrDefault("part", "")) && row.key.compareTo(from) >= 0) {
          rows.add(row.json());
        }
      }
      return new String[] {
        "200", "{\"rows\":[" + String.join(",", rows) + "],\"has_more\":false," + tail()
      };
    }

    private synchronized String[] feed(Map<String, String> query) {
      long after = Long.parseLong(query.get("after"));
      long end = rig.ms() + Math.min(30_000, Long.parseLong(query.get("wait_ms")));
      while (true) {
        List<String> rows = new ArrayList<>();
        for (Row row : history) {
          if (row.version > after && row.table.equals(query.get("table"))) {
            rows.add(row.json());
          }
        }
        long left = end - rig.ms();
        if (!rows.isEmpty() || left <= 0) {
          return new String[] {"200", "{\"rows\":[" + String.join(",", rows) + "]," + tail()};
        }
        try {
          wait(left);
        } catch (InterruptedException e) {
          throw new IllegalStateException(e);
        }
      }
    }

    @SuppressWarnings("unchecked")
    private synchronized String[] transact(String body) {
      Map<String, Object> call = (Map<String, Object>) Json.parse(body);
      List<String> current = new ArrayList<>();
      boolean holds = true;
      for (Object each : (List<Object>) call.getOrDefault("precondition", List.of())) {
        Map<String, Object> condition = (Map<String, Object>) each;
        Row row =
            tables
                .getOrDefault((String) condition.get("table"), new TreeMap<>())
                .get(condition.get("part") + "\u0000" + condition.get("key"));
        holds &= (row == null ? 0 : row.version) == ((Number) condition.get("ver")).longValue();
        if (row != null) {
          current.add(row.json());
        }
      }
      if (!holds) {
        return new String[] {"412", "{\"rows\":[" + String.join(",", current) + "]," + tail()};
      }
      version++;
      for (Object each : (List<Object>) call.getOrDefault("set_keys", List.of())) {
        Map<String, Object> set = (Map<String, Object>) each;
        String table = (String) set.get("table");
        if (table.equals("op") || table.equals("servers")) {
          return new String[] {"403", "{" + tail()};
        }
        store(
            new Row(
                table,
                (String) set.get("part"),
                (String) set.get("key"),
                (String) set.get("value"),
                version));
        if (table.equals("status")) {
          rig.note(
              "store: " + table + "/" + set.get("key") + " = " + text(table, (String) set.get("key")));
        }
      }
      notifyAll();
      return new String[] {"200", "{" + tail()};
    }

    void close() {
      try {
        server.close();
      } catch (IOException e) {
        // It is closed already.
      }
    }
  }

  /** HTTP/1.1 on plain sockets. */
  static final class Http {

    private Http() {}

    /** A request or an answer: first line, headers and complete body. */
    record Message(String first, List<String> headers, byte[] body) {
      String header(String name) {
        for (int i = 0; i + 1 < headers.size(); i += 2) {
          if (headers.get(i).equalsIgnoreCase(name)) {
            return headers.get(i + 1);
          }
        }
        return null;
      }

      int status() {
        return Integer.parseInt(first.split(" ")[1]);
      }
    }

    static Message call(
        String host,
        int port,
        String method,
        String path,
        List<String> headers,
        byte[] body,
        int timeoutMs)
        throws IOException {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress(InetAddress.getByName(host), port), timeoutMs);
        socket.setSoTimeout(timeoutMs);
        writeRequest(socket.getOutputStream(), method, path, headers, body);
        return read(new BufferedInputStream(socket.getInputStream()));
      }
    }

    static void writeRequest(
        OutputStream out, String method, String path, List<String> headers, byte[] body)
        throws IOException {
      write(out, method + " " + path + " HTTP/1.1", headers, body, !method.equals("GET"));
    }

    static void writeAnswer(OutputStream out, int status, List<String> headers, byte[] body)
        throws IOException {
      write(out, "HTTP/1.1 " + status + " S", headers, body, true);
    }

    private static void write(
        OutputStream out, String first, List<String> headers, byte[] body, boolean length)
        throws IOException {
      StringBuilder head = new StringBuilder(first).append("\r\n");
      for (int i = 0; i + 1 < headers.size(); i += 2) {
        head.append(headers.get(i)).append(": ").append(headers.get(i + 1)).append("\r\n");
      }
      if (length) {
        head.append("Content-Length: ").append(body.length).append("\r\n");
      }
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      bytes.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
      bytes.write(body);
      out.write(bytes.toByteArray());
      out.flush();
    }

    static Message read(InputStream in) throws IOException {
      String first = line(in);
      List<String> headers = new ArrayList<>();
      int length = 0;
      for (String line = line(in); !line.isEmpty(); line = line(in)) {
        int colon = line.indexOf(':');
        headers.add(line.substring(0, colon).trim());
        headers.add(line.substring(colon + 1).trim());
        if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
          length = Integer.parseInt(line.substring(colon + 1).trim());
        }
      }
      byte[] body = in.readNBytes(length);
      if (body.length < length) {
        throw new EOFException("body ends early");
      }
      return new Message(first, headers, body);
    }

    private static String line(InputStream in) throws IOException {
      StringBuilder line = new StringBuilder();
      for (int c = in.read(); c != '\n'; c = in.read()) {
        if (c < 0) {
          throw new EOFException("connection ended");
        }
        if (c != '\r') {
          line.append((char) c);
        }
      }
      return line.toString();
    }

    static Map<String, String> query(String text) {
      Map<String, String> values = new LinkedHashMap<>();
      for (String pair : text.split("&")) {
        int equals = pair.indexOf('=');
        if (equals > 0) {
          values.put(
              pair.substring(0, equals),
              java.net.URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
      }
      return values;
    }
  }

  /** Minimal JSON reader for the store's transactions. */
  static final class Json {
    private final String text;
    private int at;

    private Json(String text) {
      this.text = text;
    }

    static Object parse(String text) {
      return new Json(text).value();
    }

    static String quote(String text) {
      return "\"" + text.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
    }

    private char next() {
      while (Character.isWhitespace(text.charAt(at))) {
        at++;
      }
      return text.charAt(at);
    }

    private Object value() {
      char c = next();
      if (c == '{') {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        while (next() != '}') {
          String key = (String) value();
          next();
          at++;
          map.put(key, value());
          if (next() == ',') {
            at++;
          }
        }
        at++;
        return map;
      }
      if (c == '[') {
        List<Object> list = new ArrayList<>();
        at++;
        while (next() != ']') {
          list.add(value());
          if (next() == ',') {
            at++;
          }
        }
        at++;
        return list;
      }
      if (c == '"') {
        StringBuilder string = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
          if (text.charAt(at) == '\\') {
            at++;
            if (text.charAt(at) == 'u') {
              string.append((char) Integer.parseInt(text.substring(at + 1, at + 5), 16));
              at += 4;
            } else {
              string.append(text.charAt(at));
            }
          } else {
            string.append(text.charAt(at));
          }
          at++;
        }
        at++;
        return string.toString();
      }
      int start = at;
      while (at < text.length() && ",]} \n\t\r".indexOf(text.charAt(at)) < 0) {
        at++;
      }
      String word = text.substring(start, at);
      return switch (word) {
        case "true" -> Boolean.TRUE;
        case "false" -> Boolean.FALSE;
        case "null" -> null;
        default -> Double.valueOf(word);
      };
    }
  }
}
