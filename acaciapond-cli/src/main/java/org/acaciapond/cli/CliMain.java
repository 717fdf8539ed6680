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

  private static final long REQUEST_TIMEOUT_MS = 2_000;

  /** Equals the interval of the nodes' pollers, so that an edit is shown when the nodes get it. */
  private static final long WATCH_INTERVAL_MS = 500;

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
                      new HttpPlatformClient(
                          vertx, address.ip(), address.port(), REQUEST_TIMEOUT_MS),
                  new HttpNodeStatusReader(vertx, REQUEST_TIMEOUT_MS),
                  new HttpNodeExplainer(vertx, REQUEST_TIMEOUT_MS),
                  TimeSource.system(),
                  createPause())
              .run(args);
    } finally {
      vertx.close().toCompletionStage().toCompletableFuture().join();
    }
    System.exit(code.code());
  }

  private static Pause createPause() {
    return () -> {
      try {
        Thread.sleep(WATCH_INTERVAL_MS);
        return true;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return false;
      }
    };
  }
}
