package org.acaciapond.bench;

import java.util.Arrays;
import org.acaciapond.bench.converge.ConvergeCommand;
import org.acaciapond.bench.target.TargetCommand;

/** Entry point of the binary {@code acaciapond-bench}; exits 2 on wrong options. */
public final class BenchMain {

  private static final int EXIT_BAD_INPUT = 2;

  private BenchMain() {}

  /** Runs the experiment named by the first argument. */
  public static void main(String[] args) {
    String command = args.length == 0 ? "" : args[0];
    String[] rest = args.length == 0 ? args : Arrays.copyOfRange(args, 1, args.length);
    if (command.equals("target")) {
      TargetCommand.run(rest);
      return;
    }
    if (command.equals("converge")) {
      System.exit(ConvergeCommand.run(rest));
    }
    System.err.println("usage: acaciapond-bench target|converge [options]");
    System.exit(EXIT_BAD_INPUT);
  }
}
