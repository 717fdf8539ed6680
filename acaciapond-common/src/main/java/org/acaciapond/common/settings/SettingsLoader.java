package org.acaciapond.common.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Loader that validates a JSON settings file and reports all its errors at once. */
public final class SettingsLoader {

  private static final JsonMapper MAPPER =
      JsonMapper.builder()
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
          .build();

  private SettingsLoader() {}

  /** Loads a file; throws {@link SettingsException} naming every invalid setting. */
  public static Settings load(Path file, List<SettingDescriptor<?>> descriptors) {
    try {
      return parse(Files.readString(file), descriptors);
    } catch (IOException e) {
      throw new SettingsException(
          SettingsErrorCode.SETTINGS_UNREADABLE, "cannot read " + file + ": " + e, e);
    }
  }

  /** Parses JSON text; throws {@link SettingsException} naming every invalid setting. */
  public static Settings parse(String json, List<SettingDescriptor<?>> descriptors) {
    JsonNode root = readObject(json);
    List<String> problems = new ArrayList<>();
    Map<SettingDescriptor<?>, Object> values = new HashMap<>();
    Set<String> unknown = new HashSet<>();
    root.fieldNames().forEachRemaining(unknown::add);
    for (SettingDescriptor<?> descriptor : descriptors) {
      unknown.remove(descriptor.name());
      Object value = readValue(root, descriptor, problems);
      if (value != null) {
        values.put(descriptor, value);
      }
    }
    unknown.stream().sorted().forEach(name -> problems.add(name + ": unknown setting"));
    if (!problems.isEmpty()) {
      throw new SettingsException(
          SettingsErrorCode.SETTINGS_INVALID, String.join("; ", problems), null);
    }
    return new Settings(values);
  }

  private static JsonNode readObject(String json) {
    try {
      JsonNode root = MAPPER.readTree(json);
      if (root.isObject()) {
        return root;
      }
      throw new SettingsException(
          SettingsErrorCode.SETTINGS_UNREADABLE, "settings are not a JSON object", null);
    } catch (JsonProcessingException e) {
      throw new SettingsException(SettingsErrorCode.SETTINGS_UNREADABLE, e.getOriginalMessage(), e);
    }
  }

  private static <T> @Nullable T readValue(
      JsonNode root, SettingDescriptor<T> descriptor, List<String> problems) {
    JsonNode node = root.get(descriptor.name());
    if (node == null) {
      if (descriptor.defaultValue() == null) {
        problems.add(descriptor.name() + ": required");
      }
      return descriptor.defaultValue();
    }
    T value;
    try {
      value = MAPPER.treeToValue(node, descriptor.type());
    } catch (JsonProcessingException e) {
      problems.add(descriptor.name() + ": must be a " + descriptor.type().getSimpleName());
      return null;
    }
    if (value == null) {
      problems.add(descriptor.name() + ": must not be null");
      return null;
    }
    String violation = descriptor.constraint().apply(value);
    if (violation != null) {
      problems.add(descriptor.name() + ": " + violation);
    }
    return value;
  }
}
