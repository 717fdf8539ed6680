package org.acaciapond.cli;

import org.acaciapond.cli.output.CliErrorCode;
import org.acaciapond.cli.output.CliException;

/**
 * Address of a listener.
 *
 * @param ip IP address
 * @param port port
 */
record Address(String ip, int port) {

  private static final int MAX_PORT = 65_535;

  /** Parses {@code ip:port}; an IPv6 address is in brackets. */
  static Address parse(String text) {
    int colon = text.lastIndexOf(':');
    String ip = colon < 0 ? "" : text.substring(0, colon).replaceAll("^\\[(.*)]$", "$1");
    String digits = text.substring(colon + 1);
    if (!ip.matches("[0-9A-Za-z.:-]+") || !digits.matches("[0-9]{1,5}")) {
      throw invalid(text);
    }
    int port = Integer.parseInt(digits);
    if (port < 1 || port > MAX_PORT) {
      throw invalid(text);
    }
    return new Address(ip, port);
  }

  private static CliException invalid(String text) {
    return new CliException(
        CliErrorCode.INVALID_INPUT, "\"" + text + "\" is not an address of the form ip:port", null);
  }
}
