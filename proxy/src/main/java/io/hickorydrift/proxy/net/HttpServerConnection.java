package io.hickorydrift.proxy.net;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;
import org.tinylog.Logger;

/**
 * Receives HTTP requests on one connection, with Jetty's parser on the event loop's thread. A
 * client must wait for each response before its next request; a request that arrives earlier closes
 * the connection, since its response could be taken for that of the request before.
 *
 * <p>Thread safety: confined to the event loop's thread.
 */
public final class HttpServerConnection implements ChannelHandler, HttpParser.RequestHandler {
  private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
  private static final int MAX_HEADER_BYTES = 16 * 1024;

  private final TcpChannel channel;
  private final Consumer<HttpExchange> onRequest;
  private final HttpParser parser =
      new HttpParser((HttpParser.RequestHandler) this, MAX_HEADER_BYTES);
  private final Map<String, String> headers = new HashMap<>();
  private String method = "";
  private String path = "";
  private byte[] body = new byte[0];
  private HttpExchange current;

  /** Receives requests on {@code channel}. */
  public HttpServerConnection(TcpChannel channel, Consumer<HttpExchange> onRequest) {
    this.channel = channel;
    this.onRequest = onRequest;
  }

  @Override
  public void received(ByteBuffer in) {
    while (in.hasRemaining() && !channel.isClosed()) {
      int before = in.remaining();
      parser.parseNext(in);
      if (parser.isComplete()) {
        parser.reset();
      } else if (in.remaining() == before) {
        return;
      }
    }
  }

  @Override
  public void closed(String reason) {
    headers.clear();
  }

  @Override
  public void startRequest(String verb, String uri, HttpVersion version) {
    method = verb;
    path = uri;
    body = new byte[0];
    headers.clear();
  }

  @Override
  public void parsedHeader(HttpField field) {
    headers.put(field.getName().toLowerCase(Locale.ROOT), field.getValue());
  }

  @Override
  public boolean headerComplete() {
    return false;
  }

  @Override
  public boolean content(ByteBuffer item) {
    int length = body.length;
    if (length + item.remaining() > MAX_BODY_BYTES) {
      channel.close();
      return true;
    }
    body = Arrays.copyOf(body, length + item.remaining());
    item.get(body, length, body.length - length);
    return false;
  }

  @Override
  public boolean contentComplete() {
    return false;
  }

  @Override
  public boolean messageComplete() {
    if (current != null && !current.isEnded()) {
      Logger.warn("event=http_request_rejected reason=\"request before the last response\"");
      channel.close();
      return true;
    }
    current = new HttpExchange(channel, method, path, Map.copyOf(headers), body);
    onRequest.accept(current);
    return true;
  }

  @Override
  public void earlyEOF() {
    channel.close();
  }

  @Override
  public void badMessage(org.eclipse.jetty.http.HttpException failure) {
    channel.out().text("HTTP/1.1 400 -\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    channel.closeAfterFlush();
  }
}
