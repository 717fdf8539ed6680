package org.acaciapond.platform;

import io.vertx.core.Vertx;
import java.io.IOException;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.acaciapond.common.time.TimeSource;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Entry point of the binary {@code acaciapond-platform}; exits with 2 on invalid options. */
public final class PlatformMain {

  private static final Logger LOG = LogManager.getLogger(PlatformMain.class);
  private static final int EXIT_INVALID_OPTIONS = 2;
  private static final int DEFAULT_PORT = 7000;

  private PlatformMain() {}

  /** Starts the server, which runs until the process ends. */
  public static void main(String[] args) throws IOException {
    OptionParser parser = new OptionParser();
    OptionSpec<String> ip =
        parser.accepts("ip", "address to listen on").withRequiredArg().defaultsTo("127.0.0.1");
    OptionSpec<Integer> port =
        parser
            .accepts("port", "port to listen on")
            .withRequiredArg()
            .ofType(Integer.class)
            .defaultsTo(DEFAULT_PORT);
    OptionSpec<Long> writes =
        parser
            .accepts("writes-per-s", "writes admitted per second")
            .withRequiredArg()
            .ofType(Long.class)
            .defaultsTo(PlatformLimits.DEFAULT.writesPerSecond());
    OptionSpec<Long> reads =
        parser
            .accepts("reads-per-s", "reads admitted per second")
            .withRequiredArg()
            .ofType(Long.class)
            .defaultsTo(PlatformLimits.DEFAULT.readsPerSecond());
    OptionSet options;
    PlatformLimits limits;
    try {
      options = parser.parse(args);
      limits = new PlatformLimits(options.valueOf(writes), options.valueOf(reads));
    } catch (OptionException | IllegalArgumentException e) {
      System.err.println(e.getMessage());
      parser.printHelpOn(System.err);
      System.exit(EXIT_INVALID_OPTIONS);
      return;
    }
    PlatformServer server =
        new PlatformServer(
            Vertx.vertx(), TimeSource.system(), options.valueOf(ip), options.valueOf(port), limits);
    server.start().await().indefinitely();
    LOG.info("Platform server is listening on port {}", server.port());
  }
}
