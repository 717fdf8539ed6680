package org.acaciapond.rollout.evidence;

import java.io.ByteArrayOutputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Compact encoding of summaries: strings, variable-length integers and only non-empty buckets. */
public final class SummaryCodec {

  private static final int MAX_ROUTES = 4096;

  private SummaryCodec() {}

  /** Encodes a summary. */
  public static byte[] encode(EvidenceSummary summary) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    text(out, summary.witness());
    text(out, summary.domain());
    number(out, summary.incarnation());
    number(out, summary.interval());
    number(out, summary.grantNumber());
    number(out, summary.routes().size());
    for (RouteCounts counts : summary.routes()) {
      text(out, counts.service());
      text(out, counts.version());
      text(out, counts.route());
      number(out, counts.calls());
      number(out, counts.errors());
      sketch(out, counts.latency());
    }
    return out.toByteArray();
  }

  /** Decodes a summary; throws {@link IllegalArgumentException} on malformed bytes. */
  public static EvidenceSummary decode(byte[] bytes) {
    try {
      return read(ByteBuffer.wrap(bytes));
    } catch (BufferUnderflowException e) {
      throw new IllegalArgumentException("evidence summary is truncated", e);
    }
  }

  private static EvidenceSummary read(ByteBuffer in) {
    String witness = text(in);
    String domain = text(in);
    long incarnation = number(in);
    long interval = number(in);
    long grant = number(in);
    int size = bounded(in, MAX_ROUTES);
    List<RouteCounts> routes = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      routes.add(
          new RouteCounts(
              text(in),
              text(in),
              text(in),
              bounded(in, Integer.MAX_VALUE),
              bounded(in, Integer.MAX_VALUE),
              sketch(in)));
    }
    return new EvidenceSummary(witness, domain, incarnation, interval, grant, routes);
  }

  private static void sketch(ByteArrayOutputStream out, LatencySketch sketch) {
    int last = -1;
    for (int i = 0; i < LatencySketch.BUCKETS; i++) {
      if (sketch.count(i) > 0) {
        number(out, i - last);
        number(out, sketch.count(i));
        last = i;
      }
    }
    number(out, 0);
  }

  private static LatencySketch sketch(ByteBuffer in) {
    LatencySketch sketch = new LatencySketch();
    int bucket = -1;
    for (int gap = bounded(in, LatencySketch.BUCKETS); gap > 0; ) {
      bucket += gap;
      if (bucket >= LatencySketch.BUCKETS) {
        throw new IllegalArgumentException("latency bucket out of range");
      }
      sketch.add(bucket, bounded(in, Integer.MAX_VALUE));
      gap = bounded(in, LatencySketch.BUCKETS);
    }
    return sketch;
  }

  private static void text(ByteArrayOutputStream out, String value) {
    byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
    number(out, bytes.length);
    out.writeBytes(bytes);
  }

  private static String text(ByteBuffer in) {
    byte[] bytes = new byte[bounded(in, in.remaining())];
    in.get(bytes);
    return new String(bytes, StandardCharsets.UTF_8);
  }

  private static void number(ByteArrayOutputStream out, long value) {
    long rest = value;
    while ((rest & ~0x7FL) != 0) {
      out.write((int) (rest & 0x7F | 0x80));
      rest >>>= 7;
    }
    out.write((int) rest);
  }

  private static long number(ByteBuffer in) {
    long value = 0;
    for (int shift = 0; shift < Long.SIZE; shift += 7) {
      byte part = in.get();
      value |= (part & 0x7FL) << shift;
      if (part >= 0) {
        return value;
      }
    }
    throw new IllegalArgumentException("number is too long");
  }

  private static int bounded(ByteBuffer in, int limit) {
    long value = number(in);
    if (value < 0 || value > limit) {
      throw new IllegalArgumentException("number " + value + " exceeds " + limit);
    }
    return (int) value;
  }
}
