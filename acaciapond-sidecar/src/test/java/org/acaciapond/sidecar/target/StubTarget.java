package org.acaciapond.sidecar.target;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Function;

/** Test fixture: target on loopback that answers a call id with any bytes, also none. */
final class StubTarget implements AutoCloseable {

  private static final String ID_HEADER = "x-attempt-id: ";

  private final ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private volatile Function<String, String> answer = id -> response(id, 200);

  StubTarget() throws IOException {
    threads.execute(this::acceptAll);
  }

  int port() {
    return server.getLocalPort();
  }

  /** Sets the bytes that are written for a call id. */
  void setAnswer(Function<String, String> next) {
    answer = next;
  }

  /** Returns a complete response with a signature and a body of two bytes. */
  static String response(String id, int status) {
    return "HTTP/1.1 "
        + status
        + " Status\r\nX-Attempt-Id: "
        + id
        + "\r\nX-Server-Signature: signed\r\nContent-Length: 2\r\n\r\nok";
  }

  /** Writes bytes that nobody asked for to the newest connection. */
  void writeUnasked(String bytes) throws IOException {
    write(sockets.get(sockets.size() - 1), bytes);
  }

  private static void write(Socket socket, String bytes) throws IOException {
    socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
  }

  private void acceptAll() {
    try {
      while (true) {
        Socket socket = server.accept();
        sockets.add(socket);
        threads.execute(() -> serve(socket));
      }
    } catch (IOException e) {
      // The server has been closed.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      BufferedReader reader =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      String id = "";
      for (String line = reader.readLine(); line != null; line = reader.readLine()) {
        if (line.toLowerCase(Locale.ROOT).startsWith(ID_HEADER)) {
          id = line.substring(ID_HEADER.length());
        } else if (line.isEmpty()) {
          write(socket, answer.apply(id));
        }
      }
    } catch (IOException e) {
      // The node has closed the connection.
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
    threads.shutdownNow();
  }
}
