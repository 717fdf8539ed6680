package org.acaciapond.cli.command;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import org.acaciapond.cli.output.CliErrorCode;
import org.acaciapond.cli.output.CliException;

/** Reader of the file with the key of a client account. Its errors never contain the key. */
final class KeyFile {

  private static final String STANDARD_INPUT = "-";
  private static final int MAX_BYTES = 4_096;

  private KeyFile() {}

  /** Returns the key; white space around it is ignored. */
  static String read(String name) {
    String key;
    try {
      if (name.equals(STANDARD_INPUT)) {
        key = readKey(System.in);
      } else {
        try (InputStream in = Files.newInputStream(Path.of(name))) {
          key = readKey(in);
        }
      }
    } catch (IOException | InvalidPathException e) {
      throw invalid("--key-file: cannot read \"" + name + "\"");
    }
    if (!key.matches("[!-~]+")) {
      throw invalid(
          "--key-file: \"" + name + "\" does not contain one key of printable characters");
    }
    return key;
  }

  private static String readKey(InputStream in) throws IOException {
    return new String(in.readNBytes(MAX_BYTES), StandardCharsets.UTF_8).strip();
  }

  private static CliException invalid(String message) {
    return new CliException(CliErrorCode.INVALID_INPUT, message, null);
  }
}
