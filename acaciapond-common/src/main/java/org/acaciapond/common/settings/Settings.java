package org.acaciapond.common.settings;

import java.util.Map;

/** Validated values of settings, by their descriptors. */
public final class Settings {

  private final Map<SettingDescriptor<?>, Object> values;

  Settings(Map<SettingDescriptor<?>, Object> values) {
    this.values = Map.copyOf(values);
  }

  /** Returns the value of a setting that was loaded with this descriptor. */
  public <T> T get(SettingDescriptor<T> descriptor) {
    Object value = values.get(descriptor);
    if (value == null) {
      throw new IllegalArgumentException(
          "no value was loaded for the setting " + descriptor.name());
    }
    return descriptor.type().cast(value);
  }
}
