package io.hickorydrift.proxy.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;

/**
 * Calls one HTTP server over kept connections, one call at a time on each. Jetty's parser on the
 * loop's thread; Jetty's own client would bring a pool of threads.
 *
 * <p>Invariant: each call ends exactly once; a connection whose call got no answer in time is
 * closed and never used again. Thread safety: confined to the loop's thread.
 */
public final class HttpClient {
  private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

  private final EventLoop loop;
  private final String address;
  private final ArrayDeque<Exchange> idle = new ArrayDeque<>();

  /** Calls the server at {@code address}. */
  public HttpClient(EventLoop loop, String address) {
    this.loop = loop;
    this.address = address;
  }

  /** Sends {@code request} and gives the result, after {@code timeoutMs} at the latest. */
  public void call(HttpRequest request, long timeoutMs, Consumer<HttpResult> onResult) {
    Exchange exchange = idle.pollLast();
    if (exchange == null) {
      exchange = new Exchange();
    }
    exchange.start(request, timeoutMs, onResult);
  }

  /** Closes the connections that are not in use, so that the next call opens a new one. */
  public void closeIdleConnections() {
    idle.forEach(exchange -> exchange.channel.close());
    idle.clear();
  }

  private final class Exchange implements ChannelHandler, HttpParser.ResponseHandler {
    private final HttpParser parser = new HttpParser((HttpParser.ResponseHandler) this);
    private TcpChannel channel;
    private Consumer<HttpResult> waiting;
    private EventLoop.Timer timer;
    private int status;
    private byte[] body = new byte[0];

    private void start(HttpRequest request, long timeoutMs, Consumer<HttpResult> onResult) {
      waiting = onResult;
      timer = loop.after(timeoutMs, () -> end("no answer in time"));
      if (channel == null) {
        channel = TcpChannel.connect(loop, address, this);
      }
      write(request);
    }

    private void write(HttpRequest request) {
      final byte[] content = request.body().getBytes(StandardCharsets.UTF_8);
      OutBuffer out = channel.out();
      out.text(request.method()).octet(' ').text(request.path()).text(" HTTP/1.1\r\nHost: ");
      out.text(address).text("\r\n");
      request
          .headers()
          .forEach((name, value) -> out.text(name).text(": ").text(value).text("\r\n"));
      if (content.length > 0) {
        out.text("Content-Type: application/json\r\n");
      }
      if (content.length > 0 || !request.method().equals("GET")) {
        out.text("Content-Length: ").text(String.valueOf(content.length)).text("\r\n");
      }
      out.text("\r\n").octets(content);
    }

    @Override
    public void received(ByteBuffer in) {
      if (waiting == null) {
        channel.close();
        idle.remove(this);
        return;
      }
      while (in.hasRemaining() && waiting != null && !parser.isClose()) {
        int before = in.remaining();
        parser.parseNext(in);
        if (in.remaining() == before && waiting != null && !parser.isComplete()) {
          break;
        }
      }
    }

    @Override
    public void closed(String reason) {
      idle.remove(this);
      end(reason);
    }

    private void end(String reason) {
      channel.close();
      finish(new HttpResult(HttpResult.NO_ANSWER, reason.getBytes(StandardCharsets.UTF_8)));
    }

    private void finish(HttpResult result) {
      if (waiting == null) {
        return;
      }
      Consumer<HttpResult> onResult = waiting;
      waiting = null;
      timer.cancel();
      onResult.accept(result);
    }

    @Override
    public void startResponse(HttpVersion version, int code, String reason) {
      status = code;
      body = new byte[0];
    }

    @Override
    public void parsedHeader(HttpField field) {}

    @Override
    public boolean headerComplete() {
      return false;
    }

    @Override
    public boolean content(ByteBuffer item) {
      if (body.length + item.remaining() > MAX_BODY_BYTES) {
        end("answer too large");
        return true;
      }
      int held = body.length;
      body = Arrays.copyOf(body, held + item.remaining());
      item.get(body, held, body.length - held);
      return false;
    }

    @Override
    public boolean contentComplete() {
      return false;
    }

    @Override
    public boolean messageComplete() {
      HttpResult result = new HttpResult(status, body);
      parser.reset();
      if (!channel.isClosed()) {
        idle.addLast(this);
      }
      finish(result);
      return true;
    }

    @Override
    public void earlyEOF() {
      end("answer cut short");
    }

    @Override
    public void badMessage(org.eclipse.jetty.http.HttpException failure) {
      end("answer is not HTTP");
    }
  }
}
