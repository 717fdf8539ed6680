package org.acaciapond.sidecar.soak;

import java.io.File;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.BindException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.acaciapond.sidecar.SidecarMain;
import org.jspecify.annotations.Nullable;

/** Node in its own process, which can be killed, paused and stopped by signals. */
public final class SoakNode {

  private static final long EXIT_TIMEOUT_S = 20;
  private static final int MAX_LOG_LINES = 12;
  private static final int DEFAULT_MEMORY_MB = 256;
  private static final int SIGNAL_DELIVERY_MS = 300;
  // State of an established connection in /proc/net/tcp.
  private static final String CONNECTED = "01";
  private static final int MIN_PORT = 10_000;
  private static final int MAX_PORT = 30_000;
  private static final Set<Integer> USED_PORTS = ConcurrentHashMap.newKeySet();

  final int outboundPort = freePort();
  final int controlPort = freePort();
  private final int readyPort = freePort();
  private final int peerPort = freePort();
  private final String key;
  private final Path directory;
  private final String settings;
  private @Nullable Process process;
  private boolean paused;

  SoakNode(Path directory, String key, String zone, String service, int targetPort, int storePort) {
    this(directory, key, zone, service, targetPort, storePort, DEFAULT_MEMORY_MB);
  }

  /** Creates a node that is not started yet. */
  public SoakNode(
      Path directory,
      String key,
      String zone,
      String service,
      int targetPort,
      int storePort,
      int memoryMb) {
    this.directory = directory;
    this.key = key;
    settings =
        """
        node=%s
        ip=127.0.0.1
        zone=%s
        service=%s
        listen.outbound=127.0.0.1:%d
        listen.control=127.0.0.1:%d
        listen.ready=127.0.0.1:%d
        app_address=127.0.0.1:%d
        internal_ports=%d,%d
        platform.address=127.0.0.1:%d
        limits.memory_mb=%d
        bounds=grace_s=6,retry_budget_ratio=0.2,retry_budget_slack=60,budget_window_s=10
        """
            .formatted(
                key,
                zone,
                service,
                outboundPort,
                controlPort,
                readyPort,
                targetPort,
                peerPort,
                peerPort,
                storePort,
                memoryMb);
    writeSettings();
  }

  // Chosen below the ephemeral port range: an outgoing connection could otherwise take the port
  // before the node starts, or while it is down.
  private static int freePort() {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
      try (ServerSocket socket = new ServerSocket(port)) {
        if (USED_PORTS.add(socket.getLocalPort())) {
          return port;
        }
      } catch (BindException e) {
        // The port is in use.
        continue;
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  /** Returns the port for client requests. */
  public int outboundPort() {
    return outboundPort;
  }

  /** Returns the port for check-ins. */
  public int controlPort() {
    return controlPort;
  }

  /** Returns the largest resident memory of the process so far. */
  public int peakResidentKb() {
    try (Stream<String> lines = Files.lines(processDirectory().resolve("status"))) {
      String line = lines.filter(each -> each.startsWith("VmHWM:")).findFirst().orElseThrow();
      return Integer.parseInt(line.replaceAll("\\D", ""));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Returns the bytes that clients have sent and the node has not read. */
  public long unreadKb() {
    return unreadKb(Path.of("/proc/net/tcp")) + unreadKb(Path.of("/proc/net/tcp6"));
  }

  private long unreadKb(Path connections) {
    try (Stream<String> lines = Files.lines(connections)) {
      String localPort = ":%04X".formatted(outboundPort);
      return lines
              .map(line -> line.trim().split("\\s+"))
              .filter(fields -> fields[1].endsWith(localPort) && fields[3].equals(CONNECTED))
              .mapToLong(fields -> Long.parseLong(fields[4].split(":")[1], 16))
              .sum()
          >> 10;
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Returns the number of open descriptors of the process. */
  public int openFiles() {
    try (Stream<Path> files = Files.list(processDirectory().resolve("fd"))) {
      return (int) files.count();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private Path processDirectory() {
    return Path.of("/proc", Long.toString(Objects.requireNonNull(process).pid()));
  }

  /** Returns the memory and the descriptors of the process as text. */
  public String usage() {
    return isRunning()
        ? "%s: peak %d KB, unread %d KB, %d descriptors, errors %s"
            .formatted(key, peakResidentKb(), unreadKb(), openFiles(), memoryErrors())
        : key + ": not running";
  }

  /** Returns the last lines of the node's log. */
  public String lastLines() {
    try {
      List<String> lines = Files.readAllLines(directory.resolve(key + ".log"));
      return String.join(
          "\n", lines.subList(Math.max(0, lines.size() - MAX_LOG_LINES), lines.size()));
    } catch (IOException e) {
      return "no log: " + e.getMessage();
    }
  }

  private void writeSettings() {
    try {
      Files.writeString(settingsFile(), settings);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private Path settingsFile() {
    return directory.resolve(key + ".conf");
  }

  private Path exceptionLog() {
    return directory.resolve(key + ".exceptions");
  }

  /** Returns the lines of the log of exceptions that name errors of memory. */
  public List<String> memoryErrors() {
    try (Stream<String> lines = Files.lines(exceptionLog())) {
      return lines.filter(line -> line.matches(".*OutOf(Direct)?MemoryError.*")).limit(3).toList();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Starts the node with a limit on its open files and records the exceptions that it throws. */
  public void startObserved(int maxOpenFiles) {
    start(
        List.of("sh", "-c", "ulimit -n " + maxOpenFiles + " && exec \"$@\"", "node"),
        List.of("-Xlog:exceptions=info:file=" + exceptionLog()));
  }

  void start() {
    start(List.of(), List.of());
  }

  private void start(List<String> launcher, List<String> options) {
    List<String> command = new ArrayList<>(launcher);
    command.addAll(
        List.of(
            // Tests that a shell runs in the background ignore SIGINT, and their processes inherit
            // that.
            "env",
            "--default-signal=INT,HUP",
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx64m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1"));
    command.addAll(options);
    command.addAll(
        List.of("-cp", System.getProperty("java.class.path"), SidecarMain.class.getName()));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("ACACIAPOND_BOOT", settingsFile().toString());
    File log = directory.resolve(key + ".log").toFile();
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    try {
      process = builder.start();
      paused = false;
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Starts the node and sends it a signal while it is reading its settings, which are complete only
   * afterwards.
   */
  void startAndSignalBeforeSettings(String signal) throws IOException {
    Path file = settingsFile();
    Files.delete(file);
    awaitExit(new ProcessBuilder("mkfifo", file.toString()).start());
    start();
    // Opening the pipe returns when the node has opened its other end.
    try (OutputStream out = new FileOutputStream(file.toFile())) {
      Path complete = directory.resolve(key + ".complete");
      Files.writeString(complete, settings);
      Files.move(complete, file, StandardCopyOption.REPLACE_EXISTING);
      signal(signal);
      pauseBriefly();
      if (isRunning()) {
        out.write(settings.getBytes(StandardCharsets.UTF_8));
      }
    }
  }

  private static void pauseBriefly() {
    try {
      Thread.sleep(SIGNAL_DELIVERY_MS);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Returns whether the node's process is running. */
  public boolean isRunning() {
    Process current = process;
    return current != null && current.isAlive();
  }

  /** Ends the node's process at once. */
  public void kill() {
    Process current = process;
    if (current != null) {
      current.destroyForcibly();
      awaitExit(current);
    }
  }

  /** Sends SIGTERM; a paused node is resumed first, because it would never handle the signal. */
  void terminate() {
    resume();
    Process current = process;
    if (current != null) {
      current.destroy();
    }
  }

  void pause() {
    paused = isRunning() && signal("STOP");
  }

  void resume() {
    if (paused && isRunning()) {
      signal("CONT");
    }
    paused = false;
  }

  /** Sends a signal to the node's process; returns whether that succeeded. */
  boolean signal(String name) {
    Process current = process;
    if (current == null) {
      return false;
    }
    try {
      Process kill = new ProcessBuilder("kill", "-" + name, Long.toString(current.pid())).start();
      awaitExit(kill);
      return kill.exitValue() == 0;
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Waits for the end of the node's process; returns its exit code. */
  int awaitExit() {
    Process current = Objects.requireNonNull(process);
    awaitExit(current);
    return current.exitValue();
  }

  private static void awaitExit(Process ended) {
    try {
      if (!ended.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS)) {
        throw new IllegalStateException("process " + ended.pid() + " did not exit");
      }
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
