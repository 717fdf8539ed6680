package org.acaciapond.cli.edit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.Optional;
import java.util.stream.StreamSupport;
import org.acaciapond.cli.output.CliErrorCode;
import org.acaciapond.cli.output.CliException;
import org.acaciapond.config.version.ConfigCodec;

/** Edit of a configuration text that requests the move of a service to a version. */
public final class RolloutEdit {

  private static final String CURRENT_VERSION = "current_version";
  private static final String TO_VERSION = "to_version";

  private final JsonNode root;
  private final ObjectNode service;

  private RolloutEdit(JsonNode root, ObjectNode service) {
    this.root = root;
    this.service = service;
  }

  /** Starts an edit of one service; fails when the text does not name the service. */
  public static RolloutEdit of(String text, String serviceName) {
    JsonNode root;
    try {
      root = ConfigCodec.mapper().readTree(text);
    } catch (JsonProcessingException e) {
      throw new CliException(CliErrorCode.INVALID_INPUT, "the text in force is not JSON", e);
    }
    return StreamSupport.stream(root.path("services").spliterator(), false)
        .filter(node -> node.path("name").asText().equals(serviceName))
        .findFirst()
        .map(node -> new RolloutEdit(root, (ObjectNode) node))
        .orElseThrow(
            () ->
                new CliException(
                    CliErrorCode.INVALID_INPUT,
                    "the configuration has no service \"" + serviceName + "\"",
                    null));
  }

  /** Returns the version that the service moves to at present, if there is a move. */
  public Optional<String> presentTarget() {
    JsonNode target = service.path("move").path(TO_VERSION);
    return target.isTextual() ? Optional.of(target.textValue()) : Optional.empty();
  }

  /** Returns the current version of the text. */
  public String currentVersion() {
    return service.path(CURRENT_VERSION).asText();
  }

  /** Returns whether the service lists a version. */
  public boolean lists(String version) {
    return StreamSupport.stream(service.path("versions").spliterator(), false)
        .anyMatch(node -> node.path("name").asText().equals(version));
  }

  /** Makes the target of a completed move the current version and removes the move. */
  public void completeMove() {
    presentTarget().ifPresent(target -> service.put(CURRENT_VERSION, target));
    service.remove("move");
  }

  /** Requests a move, listing its version when it is not listed yet. */
  public void moveTo(String version, Instant by) {
    if (!lists(version)) {
      service.withArray("/versions").addObject().put("name", version);
    }
    service.putObject("move").put(TO_VERSION, version).put("by", by.toString());
  }

  /** Returns the edited text, indented by two spaces. */
  public String text() {
    return root.toPrettyString() + "\n";
  }
}
