package org.acaciapond.cli;

import java.io.PrintStream;
import java.util.Arrays;
import org.acaciapond.cli.command.CommandContext;
import org.acaciapond.cli.command.NodeExplainer;
import org.acaciapond.cli.command.NodeStatusReader;
import org.acaciapond.cli.command.Pause;
import org.acaciapond.cli.output.CliErrorCode;
import org.acaciapond.cli.output.CliException;
import org.acaciapond.cli.output.ExitCode;
import org.acaciapond.cli.output.Output;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.platform.client.PlatformErrorCode;
import org.acaciapond.platform.client.PlatformException;

/** Command line that parses the arguments, runs one command and maps errors to exit codes. */
final class Cli {

  private final PrintStream out;
  private final PrintStream err;
  private final PlatformAccess platforms;
  private final NodeStatusReader nodes;
  private final NodeExplainer explainer;
  private final TimeSource time;
  private final Pause pause;

  Cli(
      PrintStream out,
      PrintStream err,
      PlatformAccess platforms,
      NodeStatusReader nodes,
      NodeExplainer explainer,
      TimeSource time,
      Pause pause) {
    this.out = out;
    this.err = err;
    this.platforms = platforms;
    this.nodes = nodes;
    this.explainer = explainer;
    this.time = time;
    this.pause = pause;
  }

  /** Runs one command. */
  ExitCode run(String... args) {
    if (Arrays.asList(args).contains("--help")) {
      out.println(ParsedArguments.usage());
      return ExitCode.DONE;
    }
    // --json also applies to errors in the arguments, so it is looked up before they are parsed.
    Output output = new Output(out, err, Arrays.asList(args).contains("--json"));
    try {
      ParsedArguments arguments = ParsedArguments.parse(args);
      CommandContext context =
          new CommandContext(
              platforms.createClient(arguments.platform()),
              nodes,
              explainer,
              time,
              pause,
              output,
              arguments.options());
      return arguments.spec().command().run(context);
    } catch (CliException e) {
      output.printError(e);
      return e.errorCode().exitCode();
    } catch (PlatformException e) {
      CliException translated =
          new CliException(
              CliErrorCode.UNAVAILABLE,
              describe(e) + " (" + e.getMessage() + "); nothing was changed",
              e);
      output.printError(translated);
      return translated.errorCode().exitCode();
    }
  }

  private static String describe(PlatformException error) {
    return error.code() == PlatformErrorCode.PLATFORM_PROTOCOL
        ? "the platform gave a wrong answer"
        : "the platform is unavailable";
  }
}
