package org.acaciapond.protocol.transport;

import java.util.function.Consumer;
import org.acaciapond.protocol.message.Message;

/** Open connection to another node. */
public interface PeerConnection {

  /** Returns the remote address in readable form. */
  String remote();

  /** Sends a message; a message sent on a closed connection is dropped. */
  void send(Message message);

  /** Registers the receiver of messages; there is one. */
  void onMessage(Consumer<Message> receiver);

  /** Registers a callback for the end of the connection; it runs at once when that has come. */
  void onClose(Runnable callback);

  /** Closes the connection. */
  void close();
}
