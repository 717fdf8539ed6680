package org.acaciapond.node.telemetry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Span sink that writes each span as one line of JSON. */
public final class JsonLinesSpanSink implements SpanSink {

  private static final Logger LOG = LogManager.getLogger("org.acaciapond.trace");
  private static final JsonMapper MAPPER = new JsonMapper();

  private final Consumer<String> lineConsumer;

  /** Creates a sink that passes each line to the given consumer. */
  public JsonLinesSpanSink(Consumer<String> lineConsumer) {
    this.lineConsumer = lineConsumer;
  }

  /** Returns a sink that writes to the logger {@code org.acaciapond.trace}. */
  public static JsonLinesSpanSink toLog() {
    return new JsonLinesSpanSink(LOG::info);
  }

  @Override
  public void accept(FinishedSpan span) {
    try {
      lineConsumer.accept(MAPPER.writeValueAsString(span));
    } catch (JsonProcessingException e) {
      LOG.warn("Cannot serialize a finished span", e);
    }
  }
}
