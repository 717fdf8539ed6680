package org.acaciapond.sidecar;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import org.acaciapond.adapter.HttpMeshStore;
import org.acaciapond.adapter.JsonPlatformCodec;
import org.acaciapond.adapter.SettingsFile;
import org.acaciapond.common.settings.SettingsException;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.http.UnrecoverableErrors;
import org.acaciapond.mesh.platform.SidecarSettings;
import org.acaciapond.sidecar.telemetry.EventLog;
import sun.misc.Signal;

/**
 * Entry point of a sidecar node. Exit codes: 0 stopped, 2 invalid settings, 4 start failed, 5 out
 * of memory.
 */
public final class SidecarMain {

  private static final int EXIT_STOPPED = 0;
  private static final int EXIT_INVALID_SETTINGS = 2;
  private static final int EXIT_START_FAILED = 4;
  private static final int EXIT_OUT_OF_MEMORY = 5;

  private SidecarMain() {}

  /** Node of this process, once it exists; confined to its event loop. */
  private record RunningNode(Vertx vertx, SidecarProcess process, EventLog log) {}

  /** Runs a node until the platform asks the process to stop. */
  public static void main(String[] args) {
    CompletableFuture<RunningNode> node = new CompletableFuture<>();
    installSignalHandlers(node);
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
    endWithoutMemory(vertx, log);
    JsonPlatformCodec codec = new JsonPlatformCodec(ProcessLimits.of(settings).maxBodyBytes());
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
          node.complete(new RunningNode(vertx, process, log));
          process
              .start()
              .subscribe()
              .with(
                  done -> {},
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

  // Objects may be in any state after such an error. The platform starts the process again.
  private static void endWithoutMemory(Vertx vertx, EventLog log) {
    Thread.setDefaultUncaughtExceptionHandler(
        (thread, error) -> {
          if (error instanceof OutOfMemoryError) {
            end(log, thread, error);
          } else {
            System.err.println("acaciapond-sidecar: uncaught in " + thread.getName());
            error.printStackTrace();
          }
        });
    vertx.exceptionHandler(
        error -> {
          UnrecoverableErrors.report(error);
          error.printStackTrace();
        });
  }

  private static void end(EventLog log, Thread thread, Throwable error) {
    try {
      log.event("out_of_memory", "thread", thread.getName(), "error", String.valueOf(error));
      log.stop().subscribe().with(done -> {});
    } finally {
      Runtime.getRuntime().halt(EXIT_OUT_OF_MEMORY);
    }
  }

  // SIGTERM and SIGINT stop the node, SIGHUP announces changed settings. The JVM ends at once on a
  // signal without a handler, so the handlers are installed before the node exists.
  private static void installSignalHandlers(CompletableFuture<RunningNode> node) {
    Signal.handle(new Signal("HUP"), signal -> node.thenAccept(SidecarMain::reload));
    Signal.handle(new Signal("TERM"), signal -> stop(node));
    Signal.handle(new Signal("INT"), signal -> stop(node));
  }

  private static void stop(CompletableFuture<RunningNode> node) {
    if (!node.isDone()) {
      // No request has been accepted yet.
      Runtime.getRuntime().halt(EXIT_STOPPED);
    }
    node.thenAccept(running -> running.vertx().runOnContext(on -> stop(running)));
  }

  private static void stop(RunningNode node) {
    node.process()
        .stop()
        .subscribe()
        .with(
            done -> {
              node.log().stop().subscribe().with(written -> {});
              Runtime.getRuntime().halt(EXIT_STOPPED);
            });
  }

  private static void reload(RunningNode node) {
    node.vertx()
        .runOnContext(
            on -> {
              try {
                node.process().reload(SettingsFile.read(settingsPath()));
              } catch (SettingsException e) {
                node.log().event("settings_kept", "problem", e.getMessage());
              }
            });
  }

  private static Path settingsPath() {
    String path = System.getenv(SettingsFile.PATH_VARIABLE);
    return Path.of(path == null ? "" : path);
  }
}
