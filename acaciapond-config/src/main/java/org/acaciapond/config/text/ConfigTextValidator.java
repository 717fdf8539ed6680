package org.acaciapond.config.text;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.Optional;
import org.acaciapond.config.model.MeshConfig;
import org.acaciapond.config.version.ConfigCodec;

/** Validator that reports all problems of a configuration text with their positions. */
public final class ConfigTextValidator {

  /** Largest text, so that an edit fits into one object of the platform's store. */
  public static final int MAX_TEXT_BYTES = 10_000_000;

  /** Deepest nesting of objects and arrays; the schema itself needs five levels. */
  public static final int MAX_DEPTH = 32;

  /** Most problems reported; a text of 10 MB can have millions, which nobody reads. */
  public static final int MAX_PROBLEMS = 100;

  private ConfigTextValidator() {}

  /**
   * Validates a text.
   *
   * @param bytes content of the file
   * @param fileName name of the file, for the problems
   */
  public static ValidationResult validate(byte[] bytes, String fileName) {
    ProblemCollector problems = new ProblemCollector(fileName);
    Optional<String> text = TextDecoder.decode(bytes, problems);
    Optional<PositionedTree> tree = text.flatMap(t -> PositionedReader.read(t, problems));
    tree.ifPresent(
        t -> {
          StructureCheck.check(t, problems);
          ReferenceCheck.check(t, problems);
        });
    Optional<MeshConfig> config =
        problems.isEmpty() ? tree.flatMap(t -> toModel(t, problems)) : Optional.empty();
    return new ValidationResult(config, text.orElse(""), problems.sorted(), problems.omitted());
  }

  /** Converts a checked tree; a failure means that schema and model differ. */
  private static Optional<MeshConfig> toModel(PositionedTree tree, ProblemCollector problems) {
    try {
      return Optional.of(ConfigCodec.mapper().treeToValue(tree.root(), MeshConfig.class));
    } catch (JsonProcessingException e) {
      problems.add(TextLocation.START, Rule.WRONG_TYPE, e.getOriginalMessage());
      return Optional.empty();
    }
  }
}
