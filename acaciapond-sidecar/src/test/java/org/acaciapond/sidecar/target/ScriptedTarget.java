package org.acaciapond.sidecar.target;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executor;

/** Target on plain sockets that writes the bytes of a script for each request without a body. */
final class ScriptedTarget implements AutoCloseable {

  private static final int BACKLOG = 10;
  private static final String HEAD_END = "\r\n\r\n";

  /** Writes the bytes for one request. */
  interface Script {
    /**
     * Writes the response and closes the connection by throwing an {@link IOException}.
     *
     * @param arrival number of the request at this target, from 1
     * @param numberOnConnection number of the request on its connection, from 1
     */
    void respond(int arrival, int numberOnConnection, OutputStream out)
        throws IOException, InterruptedException;
  }

  private final ServerSocket server;
  private final Executor executor;
  private final Script script;
  private final List<String> requestHeads = new CopyOnWriteArrayList<>();
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();

  ScriptedTarget(Executor executor, Script script) throws IOException {
    this.server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    this.executor = executor;
    this.script = script;
    executor.execute(this::acceptConnections);
  }

  int port() {
    return server.getLocalPort();
  }

  /** Returns how many requests have arrived. */
  int arrivals() {
    return requestHeads.size();
  }

  /** Returns how many connections were accepted. */
  int connectionCount() {
    return sockets.size();
  }

  private void acceptConnections() {
    try {
      while (true) {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        executor.execute(() -> serve(socket));
      }
    } catch (IOException e) {
      // The target was closed.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      for (int number = 1; ; number++) {
        String head = readHead(in);
        int arrival;
        synchronized (requestHeads) {
          requestHeads.add(head);
          arrival = requestHeads.size();
        }
        script.respond(arrival, number, socket.getOutputStream());
      }
    } catch (IOException e) {
      // The connection was closed by the script or by the node.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String readHead(InputStream in) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    while (!head.toString(StandardCharsets.ISO_8859_1).endsWith(HEAD_END)) {
      int next = in.read();
      if (next < 0) {
        throw new IOException("connection closed");
      }
      head.write(next);
    }
    return head.toString(StandardCharsets.ISO_8859_1);
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
