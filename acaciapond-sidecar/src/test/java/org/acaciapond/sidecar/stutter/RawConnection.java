package org.acaciapond.sidecar.stutter;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ProtocolException;
import java.net.Socket;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/** Connection of a client to a node. */
final class RawConnection implements AutoCloseable {

  private static final int READ_TIMEOUT_MS = 6_000;

  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.1 [1-5]\\d\\d .*");

  private final Socket socket;
  private final InputStream in;
  private boolean ended;

  RawConnection(int port) throws IOException {
    socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(READ_TIMEOUT_MS);
    in = new BufferedInputStream(socket.getInputStream());
  }

  void send(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
  }

  /**
   * Returns the next response, or null if the connection has ended.
   *
   * @throws ProtocolException if the received bytes are not a response
   */
  @Nullable RawResponse read() throws IOException {
    MessageHead head = ended ? null : MessageHead.read(in);
    if (head == null) {
      ended = true;
      return null;
    }
    if (!STATUS_LINE.matcher(head.startLine()).matches()) {
      throw new ProtocolException(head.startLine());
    }
    RawResponse response = new RawResponse(head, head.readBody(in));
    ended = "close".equalsIgnoreCase(head.header("Connection"));
    return response;
  }

  boolean usable() {
    return !ended;
  }

  /** Returns whether bytes were received that were not read as a response. */
  boolean hasUnreadBytes() throws IOException {
    return !ended && in.available() > 0;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
