package org.acaciapond.sidecar.stutter;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Start line and header lines of a request or response. */
record MessageHead(String startLine, List<String> headerLines) {

  private static final int MAX_BYTES = 65_536;

  /** Reads a head, or returns null if the connection ends before its first byte. */
  static @Nullable MessageHead read(InputStream in) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    int matched = 0;
    while (matched < 4) {
      int next = in.read();
      if (next < 0 || head.size() > MAX_BYTES) {
        if (head.size() == 0) {
          return null;
        }
        throw new IOException("head is incomplete");
      }
      head.write(next);
      boolean matches = next == (matched % 2 == 0 ? '\r' : '\n');
      matched = matches ? matched + 1 : next == '\r' ? 1 : 0;
    }
    List<String> lines = head.toString(StandardCharsets.ISO_8859_1).lines().toList();
    return new MessageHead(lines.get(0), lines.subList(1, lines.size() - 1));
  }

  @Nullable String header(String name) {
    String prefix = name + ":";
    for (String line : headerLines) {
      if (line.regionMatches(true, 0, prefix, 0, prefix.length())) {
        return line.substring(prefix.length()).trim();
      }
    }
    return null;
  }

  /** Reads the body of the announced length. */
  byte[] readBody(InputStream in) throws IOException {
    String length = header("Content-Length");
    int bytes = length == null ? 0 : Integer.parseInt(length);
    byte[] body = in.readNBytes(bytes);
    if (body.length < bytes) {
      throw new IOException("body is incomplete");
    }
    return body;
  }
}
