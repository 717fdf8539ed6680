package org.acaciapond.cli.command;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.acaciapond.cli.output.Output;

/**
 * What the report of an accepted edit says besides its version.
 *
 * @param line text after the version, for people
 * @param fields first fields of the JSON output
 */
record EditNote(String line, ObjectNode fields) {

  /** Returns a note that says nothing. */
  static EditNote none() {
    return new EditNote("", Output.object());
  }
}
