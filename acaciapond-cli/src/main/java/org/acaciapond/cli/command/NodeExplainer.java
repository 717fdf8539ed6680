package org.acaciapond.cli.command;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** Client that asks a node where it would send a request. */
@FunctionalInterface
public interface NodeExplainer {

  /**
   * Returns the explanation.
   *
   * @param address ip:port of the listener for metrics or readiness
   * @param question the request
   * @param key key of a client account; empty if the request carries none
   * @throws org.acaciapond.cli.output.CliException if the node gives no usable response
   */
  ObjectNode explain(String address, ExplainQuestion question, String key);
}
