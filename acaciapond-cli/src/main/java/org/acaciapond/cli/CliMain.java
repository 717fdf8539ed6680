package org.acaciapond.cli;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.config.text.ConfigTextParser;
import org.acaciapond.config.version.ConfigException;
import org.acaciapond.platform.client.ConfigHead;
import org.acaciapond.platform.client.ConfigPublisher;
import org.acaciapond.platform.client.HttpPlatformClient;
import org.acaciapond.platform.client.PublishResult;

/** Entry point of the binary {@code acaciapond}. */
public final class CliMain {

  private static final int EXIT_DONE = 0;
  private static final int EXIT_BAD_INPUT = 2;
  private static final int EXIT_CONFLICT = 3;
  private static final int EXIT_UNAVAILABLE = 4;
  private static final long TIMEOUT_MS = 2_000;

  private CliMain() {}

  /** Runs one command and exits with its code. */
  public static void main(String[] args) {
    System.exit(run(args));
  }

  private static int run(String[] args) {
    OptionParser parser = new OptionParser();
    OptionSpec<String> platform =
        parser
            .accepts("platform", "ip:port of the platform")
            .withRequiredArg()
            .defaultsTo("127.0.0.1:7000");
    OptionSpec<String> operator =
        parser
            .accepts("operator", "name of the operator")
            .withRequiredArg()
            .defaultsTo(System.getProperty("user.name"));
    OptionSpec<String> words = parser.nonOptions("command and its arguments");
    OptionSet options;
    try {
      options = parser.parse(args);
    } catch (OptionException e) {
      System.err.println(e.getMessage());
      return EXIT_BAD_INPUT;
    }
    List<String> command = options.valuesOf(words);
    if (command.size() != 2) {
      System.err.println("usage: acaciapond validate FILE | apply FILE");
      return EXIT_BAD_INPUT;
    }
    return runOnFile(
        command.get(0), command.get(1), options.valueOf(platform), options.valueOf(operator));
  }

  private static int runOnFile(String command, String file, String platform, String operator) {
    String text;
    try {
      text = Files.readString(Path.of(file));
      ConfigTextParser.parse(text);
    } catch (IOException | ConfigException e) {
      System.err.println(file + ": " + e.getMessage());
      return EXIT_BAD_INPUT;
    }
    return command.equals("apply") ? apply(text, platform, operator) : EXIT_DONE;
  }

  private static int apply(String text, String platform, String operator) {
    Vertx vertx = Vertx.vertx();
    try {
      String[] address = platform.split(":");
      HttpPlatformClient client =
          new HttpPlatformClient(vertx, address[0], Integer.parseInt(address[1]), TIMEOUT_MS);
      PublishResult result =
          new ConfigPublisher(client, TimeSource.system())
              .publish(text, operator)
              .await()
              .indefinitely();
      return report(result);
    } finally {
      vertx.close().toCompletionStage().toCompletableFuture().join();
    }
  }

  private static int report(PublishResult result) {
    switch (result.outcome()) {
      case ACCEPTED -> {
        System.out.println("accepted as version " + result.version().sequence());
        return EXIT_DONE;
      }
      case CONFLICT -> {
        ConfigHead other = result.otherEdit();
        System.err.println("conflict with " + (other == null ? "another edit" : other.editId()));
        return EXIT_CONFLICT;
      }
      case UNAVAILABLE -> System.err.println("the platform is unavailable; nothing was changed");
      case UNKNOWN -> System.err.println("it is not known whether the edit took effect");
      default -> throw new IllegalStateException(result.toString());
    }
    return EXIT_UNAVAILABLE;
  }
}
