package org.acaciapond.sidecar.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.acaciapond.mesh.call.MeshResponse;
import org.acaciapond.mesh.peer.PeerMessage;

/** Parts of response bodies that have arrived on one connection before the end of the response. */
final class ResponseParts {

  private final int maxBytes;
  private final Map<Long, List<byte[]>> parts = new HashMap<>();
  private int bytes;

  /**
   * Creates an empty collection.
   *
   * @param maxBytes maximum number of bytes of all incomplete bodies
   */
  ResponseParts(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Adds a part; returns whether it is within the limit. */
  boolean add(PeerMessage.ResponsePart part) {
    if (part.bytes().length > maxBytes - bytes) {
      return false;
    }
    bytes += part.bytes().length;
    parts.computeIfAbsent(part.callNumber(), number -> new ArrayList<>()).add(part.bytes());
    return true;
  }

  /** Returns the response with its complete body. */
  MeshResponse complete(PeerMessage.Response response) {
    List<byte[]> received = parts.get(response.callNumber());
    if (received == null) {
      return response.response();
    }
    byte[] rest = response.response().body();
    byte[] body = new byte[received.stream().mapToInt(each -> each.length).sum() + rest.length];
    int position = 0;
    for (byte[] part : received) {
      System.arraycopy(part, 0, body, position, part.length);
      position += part.length;
    }
    System.arraycopy(rest, 0, body, position, rest.length);
    remove(response.callNumber());
    return response.response().withBody(body);
  }

  /** Drops the parts of a call. */
  void remove(long callNumber) {
    List<byte[]> removed = parts.remove(callNumber);
    if (removed != null) {
      removed.forEach(part -> bytes -= part.length);
    }
  }

  /** Drops all parts. */
  void clear() {
    parts.clear();
    bytes = 0;
  }
}
