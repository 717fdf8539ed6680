package org.acaciapond.cli.command;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.acaciapond.config.text.ConfigTextValidator;
import org.acaciapond.config.text.Problem;
import org.acaciapond.config.text.Rule;
import org.acaciapond.config.text.ValidationResult;

/** Validator of configuration files named on the command line. */
final class TextFiles {

  private TextFiles() {}

  /** Validates a file; a file that cannot be read is reported as a problem. */
  static ValidationResult validate(String name) {
    try (InputStream in = Files.newInputStream(Path.of(name))) {
      // One byte over the limit is enough to detect a text that is too large, whatever its size.
      byte[] bytes = in.readNBytes(ConfigTextValidator.MAX_TEXT_BYTES + 1);
      return ConfigTextValidator.validate(bytes, name);
    } catch (NoSuchFileException e) {
      return unreadable(name, "there is no such file");
    } catch (IOException | InvalidPathException e) {
      return unreadable(name, "cannot read the file: " + e.getMessage());
    }
  }

  private static ValidationResult unreadable(String name, String message) {
    Problem problem = new Problem(name, 1, 1, Rule.FILE_UNREADABLE, message);
    return new ValidationResult(Optional.empty(), "", List.of(problem), 0);
  }
}
