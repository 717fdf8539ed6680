package org.acaciapond.sidecar;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.acaciapond.adapter.HttpMeshStore;
import org.acaciapond.adapter.JsonPlatformCodec;
import org.acaciapond.adapter.SettingsFile;
import org.acaciapond.common.settings.SettingsException;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.mesh.platform.SidecarSettings;
import org.acaciapond.sidecar.telemetry.EventLog;
import sun.misc.Signal;

/** Entry point of a sidecar node. Exit codes: 0 stopped, 2 invalid settings, 4 start failed. */
public final class SidecarMain {

  private static final int EXIT_INVALID_SETTINGS = 2;
  private static final int EXIT_START_FAILED = 4;
  private static final int HEAP_TO_BODY_RATIO = 8;
  private static final int MEMORY_TO_BODY_RATIO = 16;

  private SidecarMain() {}

  /** Runs a node until the platform asks the process to stop. */
  public static void main(String[] args) {
    PrintStream out =
        new PrintStream(new FileOutputStream(FileDescriptor.out), false, StandardCharsets.UTF_8);
    TimeSource time = TimeSource.system();
    SidecarSettings settings;
    try {
      settings = SettingsFile.read(settingsPath());
    } catch (SettingsException e) {
      System.err.println("acaciapond-sidecar: " + e.getMessage());
      System.exit(EXIT_INVALID_SETTINGS);
      return;
    }
    EventLog log = new EventLog(settings.nodeKey(), out, time);
    log.start().subscribe().with(done -> {});
    Vertx vertx = Vertx.vertx(vertxOptions());
    int maxBodyBytes =
        (int)
            Math.min(
                ((long) settings.memoryMb() << 20) / MEMORY_TO_BODY_RATIO,
                Runtime.getRuntime().maxMemory() / HEAP_TO_BODY_RATIO);
    JsonPlatformCodec codec = new JsonPlatformCodec(maxBodyBytes);
    vertx.runOnContext(
        on -> {
          SidecarProcess process =
              new SidecarProcess(
                  vertx,
                  settings,
                  codec,
                  new HttpMeshStore(vertx, settings.store(), time),
                  log,
                  time);
          process
              .start()
              .subscribe()
              .with(
                  done -> installSignalHandlers(vertx, process, log),
                  error -> {
                    log.event("no_start", "error", error.getMessage());
                    log.stop().subscribe().with(done -> {});
                    Runtime.getRuntime().halt(EXIT_START_FAILED);
                  });
        });
  }

  private static VertxOptions vertxOptions() {
    return new VertxOptions()
        .setEventLoopPoolSize(1)
        .setWorkerPoolSize(1)
        .setInternalBlockingPoolSize(1)
        .setPreferNativeTransport(false)
        .setBlockedThreadCheckInterval(60_000)
        .setFileSystemOptions(
            new FileSystemOptions()
                .setClassPathResolvingEnabled(false)
                .setFileCachingEnabled(false));
  }

  // The platform stops a process with SIGTERM and announces changed settings with SIGHUP, which
  // terminates a Java process that has no handler for it.
  private static void installSignalHandlers(Vertx vertx, SidecarProcess process, EventLog log) {
    Signal.handle(new Signal("HUP"), signal -> vertx.runOnContext(on -> reload(process, log)));
    Signal.handle(
        new Signal("TERM"),
        signal ->
            vertx.runOnContext(
                on ->
                    process
                        .stop()
                        .subscribe()
                        .with(
                            done -> {
                              log.stop().subscribe().with(written -> {});
                              Runtime.getRuntime().halt(0);
                            })));
  }

  private static void reload(SidecarProcess process, EventLog log) {
    try {
      process.reload(SettingsFile.read(settingsPath()));
    } catch (SettingsException e) {
      log.event("settings_kept", "problem", e.getMessage());
    }
  }

  private static Path settingsPath() {
    String path = System.getenv(SettingsFile.PATH_VARIABLE);
    return Path.of(path == null ? "" : path);
  }
}
