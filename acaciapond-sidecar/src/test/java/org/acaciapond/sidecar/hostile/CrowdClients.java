package org.acaciapond.sidecar.hostile;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * Connections of a crowd to one port, served by the calling thread; they stay open until closed.
 */
final class CrowdClients implements AutoCloseable {

  private static final int QUIET_MS = 5_000;
  private static final long MAX_SEND_NANOS = 90_000_000_000L;
  private static final int RECEIVE_BUFFER_BYTES = 4 << 10;

  private final Crowd crowd;
  private final Selector selector;
  private final List<SocketChannel> channels = new ArrayList<>();
  private final ByteBuffer received = ByteBuffer.allocate(64 << 10);

  /** Progress of one connection. */
  private static final class Progress {
    private final RequestScript script;
    private long position;

    Progress(RequestScript script) {
      this.script = script;
    }
  }

  CrowdClients(Crowd crowd, int port) throws IOException {
    this.crowd = crowd;
    selector = Selector.open();
    for (int i = 0; i < crowd.clients(); i++) {
      SocketChannel channel = SocketChannel.open();
      channels.add(channel);
      channel.configureBlocking(false);
      if (!crowd.reads()) {
        channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
      }
      channel.connect(new InetSocketAddress("127.0.0.1", port));
      channel.register(selector, SelectionKey.OP_CONNECT, new Progress(crowd.scriptOf(i)));
    }
  }

  /**
   * Sends and reads until no connection has made progress for a while. A process that takes no more
   * data therefore ends the sending, and the time limit ends it for one that reads without end.
   */
  void sendAll() throws IOException {
    long startNanos = System.nanoTime();
    while (System.nanoTime() - startNanos < MAX_SEND_NANOS) {
      if (selector.select(QUIET_MS) == 0) {
        return;
      }
      for (SelectionKey key : selector.selectedKeys()) {
        serve(key);
      }
      selector.selectedKeys().clear();
    }
  }

  private void serve(SelectionKey key) throws IOException {
    try {
      if (key.isValid() && key.isConnectable()) {
        connect(key);
      } else if (key.isValid() && key.isReadable()) {
        read(key);
      }
      if (key.isValid() && key.isWritable()) {
        write(key);
      }
    } catch (IOException e) {
      // The node refused or closed the connection, which it may do.
      key.channel().close();
    }
  }

  private void connect(SelectionKey key) throws IOException {
    ((SocketChannel) key.channel()).finishConnect();
    key.interestOps(SelectionKey.OP_WRITE | (crowd.reads() ? SelectionKey.OP_READ : 0));
  }

  private void read(SelectionKey key) throws IOException {
    received.clear();
    if (((SocketChannel) key.channel()).read(received) < 0) {
      key.channel().close();
    }
  }

  private void write(SelectionKey key) throws IOException {
    Progress progress = (Progress) key.attachment();
    ByteBuffer next = progress.script.from(progress.position);
    if (!next.hasRemaining()) {
      key.interestOps(key.interestOps() & ~SelectionKey.OP_WRITE);
      return;
    }
    next.limit(Math.min(next.limit(), next.position() + crowd.bytesPerTurn()));
    progress.position += ((SocketChannel) key.channel()).write(next);
  }

  @Override
  public void close() throws IOException {
    for (SocketChannel channel : channels) {
      channel.close();
    }
    selector.close();
  }
}
