import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** Client that keeps a connection to the node of its machine and sends one request at a time. */
final class Client {
  private static final AtomicLong NUMBERS = new AtomicLong();
  private final NodeProcess node;
  private Socket socket;
  private InputStream in;
  private OutputStream out;

  Client(NodeProcess node) {
    this.node = node;
  }

  static String newAttempt() {
    return String.format("%016x", 0x5a00000000L + NUMBERS.incrementAndGet());
  }

  /** Sends a request; returns the status of its answer, or 0 if there was none. */
  int send(String attempt, String host, String path, int timeoutMs) {
    try {
      if (socket == null) {
        socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(node.ip, node.outboundPort), 1_000);
        in = new BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
      }
      socket.setSoTimeout(timeoutMs);
      Rig.record("sent", attempt + " " + path + " to " + node.name);
      out.write(request(attempt, host, path, timeoutMs));
      out.flush();
      Rig.Message answer = Rig.read(in);
      if (answer == null) {
        throw new IOException("closed");
      }
      Rig.record("answer", attempt + " " + answer.status());
      if (answer.header("connection").equals("close")) {
        close();
      }
      return answer.status();
    } catch (IOException e) {
      Rig.record("answer", attempt + " none: " + e.getMessage());
      close();
      return 0;
    }
  }

  static byte[] request(String attempt, String host, String path, int timeoutMs) {
    String text =
        String.join(
            "\r\n",
            List.of(
                "GET " + path + " HTTP/1.1",
                "Host: " + host,
                "X-Attempt-Id: " + attempt,
                "X-Timeout-Ms: " + timeoutMs,
                "",
                ""));
    return text.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1);
  }

  void close() {
    try {
      if (socket != null) {
        socket.close();
      }
    } catch (IOException e) {
      // Nothing is left to close.
    }
    socket = null;
  }
}
