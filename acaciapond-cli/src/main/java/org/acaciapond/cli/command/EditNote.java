package org.acaciapond.cli.command;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.acaciapond.cli.output.Output;

/**
 * Details in the report of an accepted edit, besides its version.
 *
 * @param line text for people, printed after the version
 * @param fields first fields of the JSON output
 */
record EditNote(String line, ObjectNode fields) {

  /** Returns a note without details. */
  static EditNote none() {
    return new EditNote("", Output.object());
  }
}
