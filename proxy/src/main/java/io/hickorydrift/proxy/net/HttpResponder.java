package io.hickorydrift.proxy.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;

/**
 * Answers simple GET requests on one connection from memory; bodies are ignored. Jetty's parser on
 * the loop's thread.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
public final class HttpResponder implements ChannelHandler, HttpParser.RequestHandler {
  /** What is answered to a path. */
  public record Page(int status, String body) {}

  private final TcpChannel channel;
  private final Function<String, Page> pages;
  private final HttpParser parser = new HttpParser((HttpParser.RequestHandler) this);
  private String path = "";

  /** Answers on {@code channel} with {@code pages} by path. */
  public HttpResponder(TcpChannel channel, Function<String, Page> pages) {
    this.channel = channel;
    this.pages = pages;
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
    path = "";
  }

  @Override
  public void startRequest(String method, String uri, HttpVersion version) {
    path = uri;
  }

  @Override
  public void parsedHeader(HttpField field) {}

  @Override
  public boolean headerComplete() {
    return false;
  }

  @Override
  public boolean content(ByteBuffer item) {
    item.position(item.limit());
    return false;
  }

  @Override
  public boolean contentComplete() {
    return false;
  }

  @Override
  public boolean messageComplete() {
    answer(pages.apply(path));
    return true;
  }

  private void answer(Page page) {
    byte[] body = page.body().getBytes(StandardCharsets.UTF_8);
    channel
        .out()
        .text("HTTP/1.1 " + page.status() + " -\r\nContent-Type: text/plain\r\nContent-Length: ")
        .text(String.valueOf(body.length))
        .text("\r\n\r\n")
        .octets(body);
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
