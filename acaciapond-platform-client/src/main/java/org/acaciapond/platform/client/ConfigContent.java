package org.acaciapond.platform.client;

import java.util.Map;
import org.acaciapond.config.version.ServiceSlice;

/** Content of a version, as it was fetched. */
public sealed interface ConfigContent {

  /**
   * Slices of all services, whose digest is that of the whole state.
   *
   * @param slices slices by service
   */
  record Slices(Map<String, ServiceSlice> slices) implements ConfigContent {}

  /**
   * Whole text.
   *
   * @param text the text
   */
  record Text(String text) implements ConfigContent {}
}
