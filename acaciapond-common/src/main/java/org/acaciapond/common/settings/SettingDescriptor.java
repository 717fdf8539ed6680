package org.acaciapond.common.settings;

import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * Typed description of one setting.
 *
 * @param <T> type of the value
 * @param name JSON field name, with its unit as a suffix
 * @param description what the setting does
 * @param type Java type that the JSON value is converted to
 * @param defaultValue value if the field is absent; null makes the setting required
 * @param constraint function that returns the violated rule, or null if the value is valid
 */
public record SettingDescriptor<T>(
    String name,
    String description,
    Class<T> type,
    @Nullable T defaultValue,
    Function<T, @Nullable String> constraint) {

  /** Returns a descriptor of an integer with inclusive bounds. */
  public static SettingDescriptor<Long> integer(
      String name, String description, @Nullable Long defaultValue, long min, long max) {
    return new SettingDescriptor<>(
        name,
        description,
        Long.class,
        defaultValue,
        value -> value < min || value > max ? "must be from " + min + " to " + max : null);
  }

  /** Returns a descriptor of a non-empty string. */
  public static SettingDescriptor<String> string(
      String name, String description, @Nullable String defaultValue) {
    return new SettingDescriptor<>(
        name,
        description,
        String.class,
        defaultValue,
        value -> value.isEmpty() ? "must not be empty" : null);
  }

  /** Returns a descriptor of a boolean. */
  public static SettingDescriptor<Boolean> bool(
      String name, String description, boolean defaultValue) {
    return new SettingDescriptor<>(name, description, Boolean.class, defaultValue, value -> null);
  }

  /** Returns a descriptor of a list of strings. */
  public static SettingDescriptor<String[]> strings(String name, String description) {
    return new SettingDescriptor<>(name, description, String[].class, new String[0], value -> null);
  }
}
