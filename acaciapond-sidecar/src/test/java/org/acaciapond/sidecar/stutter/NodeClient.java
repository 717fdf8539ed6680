package org.acaciapond.sidecar.stutter;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.ProtocolException;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Client of a node with one connection at a time, which checks each response. */
final class NodeClient implements AutoCloseable {

  private final int port;
  private final ResponseCheck check;
  private @Nullable RawConnection connection;
  private @Nullable RawRequest last;

  NodeClient(int port, ResponseCheck check) {
    this.port = port;
    this.check = check;
  }

  /** Sends requests in one segment and returns the statuses received; 0 means no response. */
  List<Integer> send(List<RawRequest> requests) throws IOException {
    long sentNanos = System.nanoTime();
    RawConnection used = write(requests);
    List<Integer> statuses = new ArrayList<>();
    for (RawRequest request : requests) {
      RawResponse response = readNext(used, request);
      if (response != null) {
        check.responseReceived(request, response, sentNanos);
      }
      statuses.add(response == null ? 0 : response.status());
    }
    if (!used.usable()) {
      close();
    }
    return statuses;
  }

  /** Sends requests and closes the connection after a time without reading the responses. */
  void sendAndLeave(List<RawRequest> requests, int afterMs)
      throws IOException, InterruptedException {
    write(requests);
    Thread.sleep(afterMs);
    close();
  }

  private RawConnection write(List<RawRequest> requests) throws IOException {
    RawConnection used = connect();
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (RawRequest request : requests) {
      check.requestSent(request);
      bytes.writeBytes(request.bytes());
      last = request;
    }
    try {
      used.send(bytes.toByteArray());
    } catch (IOException e) {
      close();
      throw e;
    }
    return used;
  }

  private RawConnection connect() throws IOException {
    RawConnection open = connection;
    if (open != null && last != null && open.hasUnreadBytes()) {
      check.unrequestedBytes(last);
      close();
      open = null;
    }
    if (open == null) {
      open = new RawConnection(port);
      connection = open;
    }
    return open;
  }

  private @Nullable RawResponse readNext(RawConnection used, RawRequest request)
      throws IOException {
    try {
      return used.read();
    } catch (ProtocolException e) {
      check.notResponse(request);
      close();
      throw e;
    } catch (IOException e) {
      close();
      throw e;
    }
  }

  @Override
  public void close() throws IOException {
    RawConnection open = connection;
    connection = null;
    if (open != null) {
      open.close();
    }
  }
}
