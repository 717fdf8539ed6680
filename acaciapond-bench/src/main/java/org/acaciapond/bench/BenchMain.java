package org.acaciapond.bench;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import org.acaciapond.bench.calls.CallsCommand;
import org.acaciapond.bench.converge.ConvergeCommand;
import org.acaciapond.bench.load.LoadCommand;
import org.acaciapond.bench.load.PortsCommand;
import org.acaciapond.bench.membership.MembershipCommand;
import org.acaciapond.bench.pace.PaceCommand;
import org.acaciapond.bench.quota.QuotaCommand;
import org.acaciapond.bench.rollout.RolloutCommand;
import org.acaciapond.bench.target.TargetCommand;

/** Entry point of the binary {@code acaciapond-bench}; exits with 2 on an unknown command. */
public final class BenchMain {

  private static final int EXIT_BAD_INPUT = 2;

  private static final Map<String, BenchCommand> COMMANDS =
      new TreeMap<>(
          Map.of(
              "target", TargetCommand::run,
              "load", LoadCommand::run,
              "ports", PortsCommand::run,
              "calls", args -> System.exit(CallsCommand.run(args)),
              "converge", args -> System.exit(ConvergeCommand.run(args)),
              "membership", MembershipCommand::run,
              "quota", QuotaCommand::run,
              "pace", PaceCommand::run,
              "rollout", RolloutCommand::run));

  /** Command of the binary. */
  @FunctionalInterface
  private interface BenchCommand {

    /** Runs the command with the arguments that follow its name. */
    void run(String[] args) throws Exception;
  }

  private BenchMain() {}

  /** Runs the command that the first argument names. */
  public static void main(String[] args) throws Exception {
    BenchCommand command = args.length == 0 ? null : COMMANDS.get(args[0]);
    if (command == null) {
      System.err.println(
          "usage: acaciapond-bench " + String.join("|", COMMANDS.keySet()) + " [options]");
      System.exit(EXIT_BAD_INPUT);
      return;
    }
    command.run(Arrays.copyOfRange(args, 1, args.length));
  }
}
