package org.acaciapond.config.text;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.acaciapond.config.model.MeshConfig;
import org.acaciapond.config.version.ConfigCodec;
import org.acaciapond.config.version.ConfigErrorCode;
import org.acaciapond.config.version.ConfigException;

/** Parser of the configuration text. */
public final class ConfigTextParser {

  private ConfigTextParser() {}

  /** Parses a text; throws {@link ConfigException} with code {@code TEXT_INVALID}. */
  public static MeshConfig parse(String text) {
    try {
      return ConfigCodec.mapper().readValue(text, MeshConfig.class);
    } catch (JsonProcessingException e) {
      throw new ConfigException(ConfigErrorCode.TEXT_INVALID, e.getOriginalMessage(), e);
    }
  }
}
