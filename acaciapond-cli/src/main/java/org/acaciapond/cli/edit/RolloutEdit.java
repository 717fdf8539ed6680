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

/** Edit of a configuration text that orders a rollout of a service to a version. */
public final class RolloutEdit {

  private static final String CURRENT_VERSION = "current_version";
  private static final String TO_VERSION = "to_version";

  private final JsonNode root;
  private final ObjectNode service;

  private RolloutEdit(JsonNode root, ObjectNode service) {
    this.root = root;
    this.service = service;
  }

  /** Creates an edit of one service; fails if the text has no such service. */
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

  /** Returns the version that the text rolls out, if it orders a rollout of the service. */
  public Optional<String> rolloutVersion() {
    JsonNode version = service.path("move").path(TO_VERSION);
    return version.isTextual() ? Optional.of(version.textValue()) : Optional.empty();
  }

  /** Returns the current version of the text. */
  public String currentVersion() {
    return service.path(CURRENT_VERSION).asText();
  }

  /** Returns whether the service has a version. */
  public boolean hasVersion(String version) {
    return StreamSupport.stream(service.path("versions").spliterator(), false)
        .anyMatch(node -> node.path("name").asText().equals(version));
  }

  /** Makes the version of a completed rollout the current one and removes the rollout. */
  public void completeRollout() {
    rolloutVersion().ifPresent(version -> service.put(CURRENT_VERSION, version));
    service.remove("move");
  }

  /** Orders a rollout, and adds its version to the service if it is not listed yet. */
  public void requestRollout(String version, Instant by) {
    if (!hasVersion(version)) {
      service.withArray("/versions").addObject().put("name", version);
    }
    service.putObject("move").put(TO_VERSION, version).put("by", by.toString());
  }

  /** Returns the edited text, indented by two spaces. */
  public String text() {
    return root.toPrettyString() + "\n";
  }
}
