package org.acaciapond.node;

import io.vertx.core.Vertx;
import java.nio.file.Path;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.acaciapond.common.settings.Settings;
import org.acaciapond.common.settings.SettingsException;
import org.acaciapond.common.settings.SettingsLoader;
import org.acaciapond.common.time.TimeSource;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Entry point of the binary {@code acaciapond-node}; exits with 2 on invalid options or settings.
 */
public final class NodeMain {

  private static final Logger LOG = LogManager.getLogger(NodeMain.class);
  private static final int EXIT_INVALID_INPUT = 2;

  private NodeMain() {}

  /** Runs a node until the process exits. */
  public static void main(String[] args) {
    OptionParser parser = new OptionParser();
    OptionSpec<String> file =
        parser.accepts("settings", "JSON settings file").withRequiredArg().required();
    Settings settings;
    try {
      OptionSet options = parser.parse(args);
      settings = SettingsLoader.load(Path.of(options.valueOf(file)), NodeSettings.ALL);
    } catch (OptionException | SettingsException e) {
      System.err.println(e.getMessage());
      System.exit(EXIT_INVALID_INPUT);
      return;
    }
    Vertx vertx = Vertx.vertx();
    NodeProcess node = new NodeProcess(vertx, settings, TimeSource.system());
    node.start().await().indefinitely();
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> node.stop().await().indefinitely(), "shutdown"));
    LOG.info("Node {} is running", settings.get(NodeSettings.HOST_ID));
  }
}
