package org.acaciapond.http;

/**
 * What the connections of a listener may use.
 *
 * @param memory account of the bytes held
 * @param maxConnections largest number of open connections
 */
public record ListenerResources(MemoryAccount memory, int maxConnections) {

  /** Creates resources without limits. */
  public static ListenerResources unlimited() {
    return new ListenerResources(MemoryAccount.unlimited(), Integer.MAX_VALUE);
  }
}
