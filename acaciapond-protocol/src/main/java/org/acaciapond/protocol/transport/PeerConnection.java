package org.acaciapond.protocol.transport;

import java.util.function.Consumer;
import org.acaciapond.protocol.message.Message;

/** Open connection to another node. */
public interface PeerConnection {

  /** Returns the remote address in readable form. */
  String remote();

  /** Sends a message, or drops it when the connection is closed. */
  void send(Message message);

  /** Sets the handler of received messages, replacing the previous one. */
  void onMessage(Consumer<Message> handler);

  /** Registers a callback for the close of the connection; it runs at once if already closed. */
  void onClose(Runnable callback);

  /** Closes the connection. */
  void close();
}
