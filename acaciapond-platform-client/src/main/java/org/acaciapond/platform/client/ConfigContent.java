package org.acaciapond.platform.client;

import java.util.Map;
import org.acaciapond.config.version.ServiceSlice;

/** Content of a configuration version, fetched as slices or as a whole text. */
public sealed interface ConfigContent {

  /**
   * Slices of all services; their digest matches the state digest of the version.
   *
   * @param slices slices by service
   */
  record Slices(Map<String, ServiceSlice> slices) implements ConfigContent {}

  /**
   * Whole configuration text.
   *
   * @param text the text
   */
  record Text(String text) implements ConfigContent {}
}
