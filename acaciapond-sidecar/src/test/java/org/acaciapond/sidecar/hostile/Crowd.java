package org.acaciapond.sidecar.hostile;

/**
 * Clients of one kind that connect at once. One in four completes its request where the kind says
 * so; the others stop just short of the end and stay open.
 */
record Crowd(
    int clients, RequestScript script, boolean mostStopShort, boolean reads, int bytesPerTurn) {

  private static final int COMPLETE_EVERY = 4;
  private static final int LARGE_BODY_BYTES = 6 << 20;
  private static final int BLOCK_BYTES = 64 << 10;
  private static final int SMALL_CHUNK_BYTES = 8;
  private static final int PIPELINED_BODY_BYTES = 1 << 20;
  private static final int PIPELINED_REQUESTS = 48;
  private static final int SHORT_HEADERS = 3_200;
  private static final int PIECE_BYTES = 4 << 10;
  private static final String BLOCK = "x".repeat(BLOCK_BYTES);
  private static final String HEAD =
      "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: crowd\r\n%s\r\n\r\n";
  private static final String CHUNKED = "Transfer-Encoding: chunked";
  private static final String LAST_CHUNK = "0\r\n\r\n";

  /** 32 clients that send 6 MB of trailers each behind a body of one byte. */
  static Crowd endlessTrailers() {
    String line = "X-Filler: " + "y".repeat(1_000) + "\r\n";
    return new Crowd(
        32,
        RequestScript.of(
            HEAD.formatted("/orders/1", CHUNKED) + "1\r\nx\r\n0\r\n",
            line,
            LARGE_BODY_BYTES / line.length(),
            "\r\n"),
        true,
        true,
        BLOCK_BYTES);
  }

  /** 32 clients that send 6 MB each as fast as the node reads. */
  static Crowd largeBodies() {
    return new Crowd(32, largeBody("/orders/1"), true, true, BLOCK_BYTES);
  }

  /** 32 clients that send 6 MB each in pieces of 4 KB in turn. */
  static Crowd largeBodiesInPieces() {
    return new Crowd(32, largeBody("/orders/1"), true, true, PIECE_BYTES);
  }

  /** 32 clients that send 6 MB each in chunks of 64 KB. */
  static Crowd largeChunks() {
    return new Crowd(32, chunked(BLOCK_BYTES), true, true, BLOCK_BYTES);
  }

  /** 32 clients that send 6 MB each in chunks of 8 bytes. */
  static Crowd smallChunks() {
    return new Crowd(32, chunked(SMALL_CHUNK_BYTES), true, true, BLOCK_BYTES);
  }

  /** 32 clients that send 6 MB each, completely, to a service that does not answer. */
  static Crowd largeBodiesToSlowTarget() {
    return new Crowd(32, largeBody("/slow/1"), false, true, BLOCK_BYTES);
  }

  /** 4 clients that send 48 requests of 1 MB each on one connection to a silent service. */
  static Crowd pipelinedBodies() {
    String request =
        HEAD.formatted("/slow/1", "Content-Length: " + PIPELINED_BODY_BYTES)
            + "x".repeat(PIPELINED_BODY_BYTES);
    return new Crowd(
        4, RequestScript.of("", request, PIPELINED_REQUESTS, ""), false, true, BLOCK_BYTES);
  }

  /** 8 clients that send 48 requests with 16 KB of very short headers each to a silent service. */
  static Crowd manyHeaders() {
    String request =
        "GET /slow/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: crowd\r\n"
            + "a:b\r\n".repeat(SHORT_HEADERS)
            + "\r\n";
    return new Crowd(
        8, RequestScript.of("", request, PIPELINED_REQUESTS, ""), false, true, BLOCK_BYTES);
  }

  /** 200 clients that send all but the end of a head with 16 KB of very short headers. */
  static Crowd incompleteHeads() {
    String start = "GET /slow/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: crowd\r\n";
    return new Crowd(
        200, RequestScript.of(start, "a:b\r\n", SHORT_HEADERS, "\r\n"), true, true, BLOCK_BYTES);
  }

  /** 32 clients that request 6 MB each and read nothing of it. */
  static Crowd slowReaders() {
    String request = "GET /large/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: crowd\r\n\r\n";
    return new Crowd(32, RequestScript.of(request, "", 0, ""), false, false, BLOCK_BYTES);
  }

  /** 600 clients that send all but the last byte of a small body. */
  static Crowd manyConnections() {
    String head = HEAD.formatted("/orders/1", "Content-Length: 2");
    return new Crowd(600, RequestScript.of(head, "x", 1, "x"), true, true, BLOCK_BYTES);
  }

  private static RequestScript largeBody(String path) {
    return RequestScript.of(
        HEAD.formatted(path, "Content-Length: " + LARGE_BODY_BYTES),
        BLOCK,
        LARGE_BODY_BYTES / BLOCK_BYTES - 1,
        BLOCK);
  }

  private static RequestScript chunked(int chunkBytes) {
    String chunk = Integer.toHexString(chunkBytes) + "\r\n" + "x".repeat(chunkBytes) + "\r\n";
    int chunksPerBlock = BLOCK_BYTES / chunkBytes;
    return RequestScript.of(
        HEAD.formatted("/orders/1", CHUNKED),
        chunk.repeat(chunksPerBlock),
        LARGE_BODY_BYTES / BLOCK_BYTES,
        LAST_CHUNK);
  }

  /** Returns what the client with an index sends. */
  RequestScript scriptOf(int index) {
    return mostStopShort && index % COMPLETE_EVERY != 0 ? script.stoppedShort() : script;
  }
}
