package org.acaciapond.sidecar.stutter;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Connection of a node at a target, with the extra bytes that go out with the next response. */
final class TargetConnection {

  private static final int RESET_LINGER_S = 0;
  private static final int MAX_PAUSE_MS = 3;

  final String name;
  private final Socket socket;
  private final InputStream in;
  private byte[] beforeNext = new byte[0];
  private byte[] interleaved = new byte[0];
  private byte[] inNextBody = new byte[0];

  TargetConnection(Socket socket, String name) throws IOException {
    this.socket = socket;
    this.name = name;
    this.in = new BufferedInputStream(socket.getInputStream());
    socket.setTcpNoDelay(true);
  }

  InputStream in() {
    return in;
  }

  /** Writes bytes before the next response, in one segment with it. */
  synchronized void writeBeforeNext(byte[] bytes) {
    beforeNext = bytes;
  }

  /** Writes lines between the lines of the next response head. */
  synchronized void writeBetweenNextLines(byte[] bytes) {
    interleaved = bytes;
  }

  /** Writes bytes between the head and the body of the next response. */
  synchronized void writeInNextBody(byte[] bytes) {
    inNextBody = bytes;
  }

  /** Writes a response head and body, and what was to go out with it. */
  synchronized void writeResponse(byte[] head, byte[] body, Random random)
      throws IOException, InterruptedException {
    List<byte[]> pieces = new ArrayList<>();
    pieces.add(beforeNext);
    pieces.addAll(interleaved.length == 0 ? List.of(head) : merge(head, random));
    pieces.add(inNextBody);
    pieces.add(body);
    beforeNext = new byte[0];
    interleaved = new byte[0];
    inNextBody = new byte[0];
    if (random.nextBoolean()) {
      writePieces(pieces, random);
    } else {
      write(join(pieces));
    }
  }

  // The end of the head comes last, so that no foreign bytes are within the body.
  private List<byte[]> merge(byte[] head, Random random) {
    List<byte[]> lines = lines(head);
    List<byte[]> foreign = lines(interleaved);
    List<byte[]> merged = new ArrayList<>();
    int next = 0;
    for (byte[] line : foreign) {
      while (next < lines.size() - 1 && random.nextInt(3) == 0) {
        merged.add(lines.get(next));
        next++;
      }
      merged.add(line);
    }
    merged.addAll(lines.subList(next, lines.size()));
    return merged;
  }

  private static List<byte[]> lines(byte[] bytes) {
    List<byte[]> lines = new ArrayList<>();
    int start = 0;
    for (int i = 0; i < bytes.length; i++) {
      if (bytes[i] == '\n' || i == bytes.length - 1) {
        lines.add(java.util.Arrays.copyOfRange(bytes, start, i + 1));
        start = i + 1;
      }
    }
    return lines;
  }

  private static byte[] join(List<byte[]> pieces) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    pieces.forEach(all::writeBytes);
    return all.toByteArray();
  }

  /** Writes the pieces in segments of their own. */
  synchronized void writePieces(List<byte[]> pieces, Random random)
      throws IOException, InterruptedException {
    for (byte[] piece : pieces) {
      if (piece.length > 0) {
        write(piece);
        Thread.sleep(random.nextInt(MAX_PAUSE_MS));
      }
    }
  }

  synchronized void write(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
  }

  /** Closes the connection, or resets it. */
  void end(boolean reset) throws IOException {
    if (reset) {
      socket.setSoLinger(true, RESET_LINGER_S);
    }
    socket.close();
  }
}
