import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One node of the system as a process, started with the command of the deploy file. */
final class NodeProcess {
  final String name;
  final String zone;
  final String ip;
  final String service;
  final int outboundPort;
  final int controlPort;
  final int readyPort;
  final int appPort;
  private final Path settings;
  private final Path log;
  private Process process;

  NodeProcess(String name, String zone, String service, int number, int storePort, Path folder)
      throws IOException {
    this.name = name;
    this.zone = zone;
    this.service = service;
    this.ip = "127.0." + (1 + ProcessHandle.current().pid() % 250) + "." + (20 + number);
    int[] ports = Rig.freePorts(ip, 6);
    this.outboundPort = ports[0];
    this.controlPort = ports[1];
    this.readyPort = ports[2];
    this.appPort = ports[3];
    this.settings = folder.resolve(name + ".conf");
    this.log = folder.resolve(name + ".log");
    Files.writeString(
        settings,
        String.join(
            "\n",
            "node=" + name, "role=node", "machine_class=sidecar", "serves=sidecar", "ip=" + ip,
            "zone=" + zone, "region=bengal", "zones.kolkata-north=bengal",
            "zones.kolkata-south=bengal", "listen.inbound=" + ip + ":" + ports[4],
            "listen.outbound=" + ip + ":" + outboundPort, "listen.ready=" + ip + ":" + readyPort,
            "listen.control=" + ip + ":" + controlPort,
            "internal_ports=" + ports[5] + "," + ports[5], "seeds=", "bootstrap=true",
            "in_fault_budget=false", "limits.cpu_share=0.6", "limits.cores=1",
            "limits.memory_mb=430", "limits.max_fds=4100", "limits.link_mbps=1000.0",
            "limits.disk_mb=0", "discovery=static", "entry=static", "heartbeat_ms=1500",
            "contracts=base,drain,config,cost,retry,recover,rollout,platform",
            "fault_tolerance.machines=1", "fault_tolerance.zones=1", "fault_tolerance.regions=0",
            "bounds=seed_lag_s=3,addr_reuse_s=2,contact_ms=3000,ack_ms=4000,catch_up_s=4,"
                + "drain_ms=2000,grace_s=6,loss_slack_ms=200,config_apply_ms=2000,"
                + "rollback_slack_ms=250,skew_max_ms=5000,retry_budget_ratio=0.2,"
                + "budget_window_s=10,retry_budget_slack=62,canary_share=0.1,canary_slack=50,"
                + "rollback_ms=5000,recover_s=15",
            "app_address=" + ip + ":" + appPort, "service=" + service,
            "platform.address=127.0.0.1:" + storePort, "platform.form=table",
            "platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.tx_ms=8.0",
            "platform.part_writes_s=150", "platform.row_bytes=65536", "platform.across=false",
            "platform.history_s=20", "platform.blob_bytes=8388608", "platform.blob_ms=25.0",
            "platform.blob_mb_s=80.0", ""),
        StandardCharsets.UTF_8);
  }

  /** Starts the process. */
  void start() throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command());
    builder.environment().put("ACACIAPOND_BOOT", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    process = builder.start();
    Rig.note("node " + name + " starts");
  }

  private static List<String> command() throws IOException {
    String deploy = Files.readString(Path.of("deploy/system.toml"), StandardCharsets.UTF_8);
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
    if (!run.find()) {
      throw new IOException("no run command in the deploy file");
    }
    List<String> words = new ArrayList<>(List.of(run.group(1).split(" ")));
    words.set(0, new File(System.getProperty("java.home"), "bin/java").getPath());
    return words;
  }

  boolean ready() {
    return Rig.status("http://" + ip + ":" + readyPort + "/v1/ready") == 200;
  }

  boolean runs() {
    return process != null && process.isAlive();
  }

  int exitCode() {
    return process.exitValue();
  }

  /** Sends a signal by its name to this process. */
  void signal(String signal) throws IOException {
    Rig.note("node " + name + " gets SIG" + signal);
    try {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Ends the process if it runs. */
  void end() {
    if (process != null) {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
