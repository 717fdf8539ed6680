package org.acaciapond.config.text;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.Optional;
import org.acaciapond.config.model.MeshConfig;
import org.acaciapond.config.version.ConfigCodec;

/** Validator that reports all problems of a configuration text with their positions. */
public final class ConfigTextValidator {

  /** Largest text accepted, so that it fits into one object of the platform's object store. */
  public static final int MAX_TEXT_BYTES = 10_000_000;

  /** Deepest nesting of objects and arrays accepted; the schema needs five levels. */
  public static final int MAX_DEPTH = 32;

  /** Most problems reported for a text, since a text of 10 MB can have millions. */
  public static final int MAX_PROBLEMS = 100;

  private ConfigTextValidator() {}

  /**
   * Validates a text.
   *
   * @param bytes content of the file
   * @param fileName file name that the problems carry
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
        problems.isEmpty() ? tree.flatMap(t -> bindToModel(t, problems)) : Optional.empty();
    return new ValidationResult(config, text.orElse(""), problems.sorted(), problems.omitted());
  }

  /** Binds a valid tree to the model; a failure means that the schema and the model disagree. */
  private static Optional<MeshConfig> bindToModel(PositionedTree tree, ProblemCollector problems) {
    try {
      return Optional.of(ConfigCodec.mapper().treeToValue(tree.root(), MeshConfig.class));
    } catch (JsonProcessingException e) {
      problems.add(TextLocation.START, Rule.WRONG_TYPE, e.getOriginalMessage());
      return Optional.empty();
    }
  }
}
