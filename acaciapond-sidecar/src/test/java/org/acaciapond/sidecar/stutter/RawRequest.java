package org.acaciapond.sidecar.stutter;

import java.nio.charset.StandardCharsets;

/** Request of a client or a nested request of a target. */
record RawRequest(String id, boolean idempotent, String path, int timeoutMs) {

  static final String HOST = "mesh.test";

  byte[] bytes() {
    String head =
        (idempotent ? "GET " : "POST ")
            + path
            + " HTTP/1.1\r\nHost: "
            + HOST
            + "\r\nX-Attempt-Id: "
            + id
            + "\r\nX-Timeout-Ms: "
            + timeoutMs
            + "\r\n"
            + (idempotent ? "" : "Content-Length: 4\r\n")
            + "\r\n"
            + (idempotent ? "" : "body");
    return head.getBytes(StandardCharsets.ISO_8859_1);
  }
}
