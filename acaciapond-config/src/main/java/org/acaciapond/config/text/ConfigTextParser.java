package org.acaciapond.config.text;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.acaciapond.config.model.MeshConfig;
import org.acaciapond.config.version.ConfigCodec;
import org.acaciapond.config.version.ConfigErrorCode;
import org.acaciapond.config.version.ConfigException;

/**
 * Parser of configuration text that has already been validated.
 *
 * <p>It stops at the first error and checks no references; {@link ConfigTextValidator} reports all
 * problems of a text that has not been validated.
 */
public final class ConfigTextParser {

  private ConfigTextParser() {}

  /** Parses a text; throws {@link ConfigException} with code {@code TEXT_INVALID}. */
  public static MeshConfig parse(String text) {
    try {
      MeshConfig config = ConfigCodec.mapper().readValue(text, MeshConfig.class);
      if (config == null) {
        throw new ConfigException(ConfigErrorCode.TEXT_INVALID, "the text is null", null);
      }
      return config;
    } catch (JsonProcessingException e) {
      throw new ConfigException(ConfigErrorCode.TEXT_INVALID, e.getOriginalMessage(), e);
    }
  }
}
