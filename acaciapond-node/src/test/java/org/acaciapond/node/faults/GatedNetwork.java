package org.acaciapond.node.faults;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.impl.VertxBuilder;
import io.vertx.core.impl.transports.JDKTransport;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Loopback network whose links can be cut while connections stay open.
 *
 * <p>Each node has a loopback address of its own and connects from it, so that both ends of a
 * connection know the link. A blocked channel holds what is written until the link heals, and a
 * blocked connect proceeds then. Closing a socket still shows at the other end.
 */
final class GatedNetwork {

  /** Addresses of nodes and of the platform; targets and callers use 127.0.0.1. */
  static final String PREFIX = "127.0.1.";

  /** Size of a usual send buffer. */
  private static final long SEND_BUFFER_BYTES = 1 << 20;

  private final Set<GatedChannel> channels = ConcurrentHashMap.newKeySet();
  private final Set<Set<String>> cutLinks = ConcurrentHashMap.newKeySet();

  /** Returns event loops whose connections pass the gates. */
  Vertx newVertx(String ip) {
    VertxOptions options =
        new VertxOptions()
            .setEventLoopPoolSize(2)
            .setWorkerPoolSize(2)
            .setInternalBlockingPoolSize(2)
            .setBlockedThreadCheckInterval(3_600_000);
    return new VertxBuilder(options).findTransport(new GatedTransport(ip)).init().vertx();
  }

  /** Stops bytes between two addresses, on connections that are open or still to be opened. */
  void cut(String one, String other) {
    cutLinks.add(Set.of(one, other));
  }

  /** Lets bytes pass on all links; connections that were silenced stay silent. */
  void heal() {
    cutLinks.clear();
    channels.forEach(channel -> channel.eventLoop().execute(channel::resume));
  }

  /** Silences the connections that are open between two addresses for good. */
  void silence(String one, String other) {
    channels.stream()
        .filter(channel -> channel.links(one, other))
        .forEach(channel -> channel.silent = true);
  }

  private final class GatedTransport extends JDKTransport {

    private final String ip;

    GatedTransport(String ip) {
      this.ip = ip;
    }

    @Override
    public ChannelFactory<? extends Channel> channelFactory(boolean domainSocket) {
      return () -> new GatedChannel(ip);
    }

    @Override
    public ChannelFactory<? extends ServerChannel> serverChannelFactory(boolean domainSocket) {
      return () -> new GatedServerChannel(ip);
    }
  }

  private final class GatedServerChannel extends NioServerSocketChannel {

    private final String ip;

    GatedServerChannel(String ip) {
      this.ip = ip;
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
      SocketChannel socket = javaChannel().accept();
      if (socket == null) {
        return 0;
      }
      accepted.add(new GatedChannel(this, socket, ip));
      return 1;
    }
  }

  private final class GatedChannel extends NioSocketChannel {

    private final String ip;
    private volatile String remoteIp = "";
    private volatile boolean silent;
    private InetSocketAddress waiting;
    private final Queue<ByteBuf> held = new ArrayDeque<>();
    private long heldBytes;

    GatedChannel(String ip) {
      this.ip = ip;
    }

    GatedChannel(Channel parent, SocketChannel socket, String ip) {
      super(parent, socket);
      this.ip = ip;
      remoteIp = remoteAddress() == null ? "" : remoteAddress().getAddress().getHostAddress();
      channels.add(this);
    }

    boolean links(String one, String other) {
      return Set.of(one, other).equals(remoteIp.equals(ip) ? Set.of() : Set.of(ip, remoteIp));
    }

    private boolean isBlocked() {
      return silent || !remoteIp.equals(ip) && cutLinks.contains(Set.of(ip, remoteIp));
    }

    @Override
    protected boolean doConnect(SocketAddress remote, SocketAddress local) throws Exception {
      InetSocketAddress address = (InetSocketAddress) remote;
      remoteIp = address.getAddress().getHostAddress();
      if (!remoteIp.startsWith(PREFIX)) {
        return super.doConnect(remote, local);
      }
      channels.add(this);
      if (isBlocked()) {
        waiting = address;
        return false;
      }
      return super.doConnect(remote, new InetSocketAddress(ip, 0));
    }

    private void resume() {
      InetSocketAddress address = waiting;
      waiting = null;
      try {
        if (!isOpen()) {
          return;
        }
        if (address == null) {
          writeHeld();
          flush();
        } else if (super.doConnect(address, new InetSocketAddress(ip, 0))) {
          selectionKey().interestOps(SelectionKey.OP_CONNECT);
        }
      } catch (Exception e) {
        close();
      }
    }

    /** Accepts what is written while the link is blocked, as the send buffer of a kernel does. */
    @Override
    protected void doWrite(ChannelOutboundBuffer buffer) throws Exception {
      if (!isBlocked()) {
        if (writeHeld()) {
          super.doWrite(buffer);
        }
        return;
      }
      while (heldBytes < SEND_BUFFER_BYTES && buffer.current() instanceof ByteBuf bytes) {
        heldBytes += bytes.readableBytes();
        held.add(bytes.retainedSlice());
        buffer.remove();
      }
    }

    /** Writes what was held; returns false and goes on later when the socket takes no more. */
    private boolean writeHeld() throws Exception {
      while (!isBlocked() && !held.isEmpty()) {
        ByteBuf bytes = held.peek();
        heldBytes -= bytes.isReadable() ? doWriteBytes(bytes) : 0;
        if (bytes.isReadable()) {
          eventLoop().schedule(this::resume, 5, TimeUnit.MILLISECONDS);
          return false;
        }
        held.remove().release();
      }
      return true;
    }

    @Override
    protected void doClose() throws Exception {
      channels.remove(this);
      held.forEach(ByteBuf::release);
      held.clear();
      super.doClose();
    }
  }
}
