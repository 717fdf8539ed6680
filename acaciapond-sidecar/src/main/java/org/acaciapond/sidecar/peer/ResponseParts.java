package org.acaciapond.sidecar.peer;

import org.acaciapond.http.MemoryAccount;
import org.acaciapond.mesh.call.MeshResponse;
import org.acaciapond.mesh.peer.PeerMessage;

/** Parts of response bodies that have arrived on one connection before the end of the response. */
final class ResponseParts {

  private final ReceivedParts parts;

  /** Creates an empty collection with a limit of the bytes of all incomplete bodies. */
  ResponseParts(int maxBytes) {
    this(maxBytes, MemoryAccount.unlimited());
  }

  /** Creates an empty collection whose bytes are also reserved in an account. */
  ResponseParts(int maxBytes, MemoryAccount memory) {
    parts = new ReceivedParts(maxBytes, memory);
  }

  /** Adds a part; returns whether it is within the limit. */
  boolean add(PeerMessage.ResponsePart part) {
    return parts.add(part.callNumber(), part.bytes());
  }

  /** Returns the response with its complete body. */
  MeshResponse complete(PeerMessage.Response response) {
    byte[] rest = response.response().body();
    byte[] body = parts.complete(response.callNumber(), rest);
    return body == rest ? response.response() : response.response().withBody(body);
  }

  /** Drops the parts of a call. */
  void remove(long callNumber) {
    parts.remove(callNumber);
  }

  /** Drops all parts. */
  void clear() {
    parts.clear();
  }
}
