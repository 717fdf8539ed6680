package org.acaciapond.config.text;

import com.fasterxml.jackson.core.JsonLocation;

/**
 * Position in a text.
 *
 * @param line line number, from 1
 * @param column column number, from 1
 */
record TextLocation(int line, int column) {

  static final TextLocation START = new TextLocation(1, 1);

  static TextLocation of(JsonLocation location) {
    return new TextLocation(Math.max(1, location.getLineNr()), Math.max(1, location.getColumnNr()));
  }

  /** Returns the position after the last character of a text. */
  static TextLocation after(CharSequence text) {
    int line = 1;
    int column = 1;
    for (int i = 0; i < text.length(); i++) {
      if (text.charAt(i) == '\n') {
        line++;
        column = 1;
      } else {
        column++;
      }
    }
    return new TextLocation(line, column);
  }
}
