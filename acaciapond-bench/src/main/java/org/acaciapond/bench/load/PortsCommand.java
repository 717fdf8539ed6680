package org.acaciapond.bench.load;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSpec;

/** Command {@code ports}, which prints loopback ports that are currently free, one per line. */
public final class PortsCommand {

  private PortsCommand() {}

  /** Prints the ports. */
  public static void run(String[] args) throws IOException {
    OptionParser parser = new OptionParser();
    OptionSpec<Integer> count =
        parser.accepts("count").withRequiredArg().ofType(Integer.class).defaultsTo(1);
    // All sockets stay open until the end, so that no port is printed twice.
    List<ServerSocket> sockets = new ArrayList<>();
    int portCount = parser.parse(args).valueOf(count);
    for (int i = 0; i < portCount; i++) {
      sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
    }
    for (ServerSocket socket : sockets) {
      System.out.println(socket.getLocalPort());
      socket.close();
    }
  }
}
