package org.acaciapond.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;

/**
 * Codec for connections of the HTTP client of Vert.x that rejects broken responses, see {@link
 * ResponseDecoder}. The client reports a rejected response as a failed one, or its connection as
 * lost, and closes the connection.
 */
public final class CheckedClientCodec
    extends CombinedChannelDuplexHandler<ResponseDecoder, HttpRequestEncoder> {

  // Name that Vert.x gives to the codec of the library.
  private static final String CODEC = "codec";

  private final Queue<HttpMethod> pendingMethods = new ArrayDeque<>();

  private CheckedClientCodec() {
    init(new Decoder(), new Encoder());
  }

  /** Creates a client whose connections have this codec. */
  public static HttpClient createClient(Vertx vertx, HttpClientOptions options) {
    return vertx
        .httpClientBuilder()
        .with(options)
        .withConnectHandler(CheckedClientCodec::install)
        .build();
  }

  /**
   * Replaces the codec of a new connection; to be called by the client's connect handler.
   *
   * @param connection connection of HTTP/1.1 without TLS
   */
  public static void install(HttpConnection connection) {
    ((ConnectionBase) connection)
        .channel()
        .pipeline()
        .replace(CODEC, CODEC, new CheckedClientCodec());
  }

  private final class Encoder extends HttpRequestEncoder {
    @Override
    protected void encode(ChannelHandlerContext context, Object message, List<Object> out)
        throws Exception {
      if (message instanceof HttpRequest request) {
        pendingMethods.add(request.method());
      }
      super.encode(context, message, out);
    }
  }

  /** Decoder that knows the method of the request, as a response to HEAD has no body. */
  private final class Decoder extends ResponseDecoder {
    Decoder() {
      super(
          HttpClientOptions.DEFAULT_MAX_INITIAL_LINE_LENGTH,
          HttpClientOptions.DEFAULT_MAX_HEADER_SIZE,
          HttpClientOptions.DEFAULT_MAX_CHUNK_SIZE);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
      boolean informational =
          message instanceof HttpResponse response
              && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
      HttpMethod method = informational ? null : pendingMethods.poll();
      return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(message);
    }
  }
}
