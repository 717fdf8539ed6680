package org.acaciapond.node.telemetry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Sink that writes each span as one line of JSON. */
public final class JsonLinesSpanSink implements SpanSink {

  private static final Logger LOG = LogManager.getLogger("org.acaciapond.trace");
  private static final JsonMapper MAPPER = new JsonMapper();

  private final Consumer<String> lines;

  /** Creates a sink that writes to the given receiver of lines. */
  public JsonLinesSpanSink(Consumer<String> lines) {
    this.lines = lines;
  }

  /** Returns a sink that writes to the logger {@code org.acaciapond.trace}. */
  public static JsonLinesSpanSink toLog() {
    return new JsonLinesSpanSink(LOG::info);
  }

  @Override
  public void accept(FinishedSpan span) {
    try {
      lines.accept(MAPPER.writeValueAsString(span));
    } catch (JsonProcessingException e) {
      LOG.warn("Cannot write a span", e);
    }
  }
}
