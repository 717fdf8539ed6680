package org.acaciapond.cli.command;

/** Pause between two rounds of a watch. */
@FunctionalInterface
public interface Pause {

  /** Waits for the next round; returns false when there is none. */
  boolean await();
}
