package org.acaciapond.sidecar.stutter;

/** Printable form of bytes in messages of failed tests. */
final class WireText {

  private static final int MAX_BYTES = 260;

  private WireText() {}

  static String of(byte[] bytes, int from, int to) {
    StringBuilder text = new StringBuilder();
    text.append(to - from).append(" bytes \"");
    for (int i = from; i < Math.min(to, from + MAX_BYTES); i++) {
      int value = bytes[i] & 0xff;
      if (value == '\r') {
        text.append("\\r");
      } else if (value == '\n') {
        text.append("\\n");
      } else if (value >= ' ' && value < 0x7f) {
        text.append((char) value);
      } else {
        text.append(String.format("\\x%02x", value));
      }
    }
    return text.append(to - from > MAX_BYTES ? "...\"" : "\"").toString();
  }
}
