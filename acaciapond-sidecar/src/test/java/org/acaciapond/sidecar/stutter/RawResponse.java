package org.acaciapond.sidecar.stutter;

import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/** Response that a client received completely. */
record RawResponse(MessageHead head, byte[] body) {

  int status() {
    String[] parts = head.startLine().split(" ");
    return Integer.parseInt(parts[1]);
  }

  @Nullable String callId() {
    return head.header("X-Attempt-Id");
  }

  @Nullable String signature() {
    return head.header("X-Server-Signature");
  }

  @Override
  public String toString() {
    return head + " body " + WireText.of(body, 0, body.length);
  }

  /** Returns whether the body is that of an additional response. */
  boolean hasExtraBody() {
    return new String(body, StandardCharsets.ISO_8859_1).equals(ResponseSender.EXTRA_BODY);
  }
}
