package org.acaciapond.cli;

import io.vertx.core.Vertx;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.acaciapond.cli.command.Pause;
import org.acaciapond.cli.output.ExitCode;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.platform.client.HttpPlatformClient;

/** Entry point of the binary {@code acaciapond}; exits with an {@link ExitCode}. */
public final class CliMain {

  private static final long TIMEOUT_MS = 2_000;

  /** The same period as that of the pollers, so that a watch shows an edit when nodes get it. */
  private static final long WATCH_PERIOD_MS = 500;

  private CliMain() {}

  /** Runs one command and exits with its code. */
  public static void main(String[] args) {
    Vertx vertx = Vertx.vertx();
    ExitCode code;
    try {
      code =
          new Cli(
                  new PrintStream(System.out, false, StandardCharsets.UTF_8),
                  new PrintStream(System.err, false, StandardCharsets.UTF_8),
                  address ->
                      new HttpPlatformClient(vertx, address.ip(), address.port(), TIMEOUT_MS),
                  new HttpNodeStatusReader(vertx, TIMEOUT_MS),
                  TimeSource.system(),
                  pause())
              .run(args);
    } finally {
      vertx.close().toCompletionStage().toCompletableFuture().join();
    }
    System.exit(code.code());
  }

  private static Pause pause() {
    return () -> {
      try {
        Thread.sleep(WATCH_PERIOD_MS);
        return true;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return false;
      }
    };
  }
}
