package org.acaciapond.cli.command;

/** Pause between two polls of the watch command. */
@FunctionalInterface
public interface Pause {

  /** Waits for the next poll; returns false if the command should end. */
  boolean await();
}
