package io.hickorydrift.proxy.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;

/**
 * Calls one HTTP server over persistent connections, with one call at a time on each. Uses Jetty's
 * parser on the event loop's thread, since Jetty's own client would add a thread pool.
 *
 * <p>Invariant: each call ends exactly once; a connection whose call timed out is closed and not
 * reused. Thread safety: confined to the event loop's thread.
 */
public final class HttpClient {
  private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
  private static final int FIRST_FINAL_STATUS = 200;

  private final EventLoop loop;
  private final ArrayDeque<Connection> idle = new ArrayDeque<>();
  private final Set<Connection> busy = new LinkedHashSet<>();
  private String address;

  /** Creates a client of the server at {@code address}. */
  public HttpClient(EventLoop loop, String address) {
    this.loop = loop;
    this.address = address;
  }

  /** Sends {@code request} and passes on the result, after {@code timeoutMs} at the latest. */
  public void call(HttpRequest request, long timeoutMs, Consumer<HttpResult> onResult) {
    Connection connection = idle.pollLast();
    if (connection == null) {
      connection = new Connection();
    }
    connection.start(request, timeoutMs, onResult);
  }

  /** Sends further calls to {@code newAddress}; ends calls in progress at another address. */
  public void setAddress(String newAddress) {
    if (newAddress.equals(address)) {
      return;
    }
    address = newAddress;
    closeIdleConnections();
    List.copyOf(busy).forEach(connection -> connection.fail("address changed"));
  }

  /** Closes the idle connections, so that the next call opens a new one. */
  public void closeIdleConnections() {
    idle.forEach(connection -> connection.channel.close());
    idle.clear();
  }

  private final class Connection implements ChannelHandler, HttpParser.ResponseHandler {
    private final HttpParser parser = new HttpParser((HttpParser.ResponseHandler) this);
    private TcpChannel channel;
    private Consumer<HttpResult> pendingCallback;
    private EventLoop.Timer timer;
    private int status;
    private byte[] body = new byte[0];
    private boolean closing;
    private boolean messageDone;

    private void start(HttpRequest request, long timeoutMs, Consumer<HttpResult> onResult) {
      pendingCallback = onResult;
      busy.add(this);
      timer = loop.after(timeoutMs, () -> fail("no response in time"));
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
      if (pendingCallback == null) {
        channel.close();
        idle.remove(this);
        return;
      }
      while (in.hasRemaining() && pendingCallback != null && !channel.isClosed()) {
        int before = in.remaining();
        parser.parseNext(in);
        if (messageDone) {
          finishMessage(in.hasRemaining());
        } else if (in.remaining() == before) {
          break;
        }
      }
    }

    /**
     * Ends the call, unless the response is an interim one. A connection with {@code surplus} bytes
     * after the response is not reused: they would count as the response to the next call.
     */
    private void finishMessage(boolean surplus) {
      messageDone = false;
      parser.reset();
      if (status < FIRST_FINAL_STATUS) {
        return;
      }
      if (closing || surplus) {
        channel.close();
      } else if (!channel.isClosed()) {
        idle.addLast(this);
      }
      complete(new HttpResult(status, body));
    }

    @Override
    public void closed(String reason) {
      idle.remove(this);
      if (pendingCallback != null) {
        // A response without a length ends with the connection.
        parser.atEOF();
        parser.parseNext(ByteBuffer.allocate(0));
        if (messageDone) {
          finishMessage(false);
        }
      }
      fail(reason);
    }

    private void fail(String reason) {
      channel.close();
      complete(new HttpResult(HttpResult.NO_ANSWER, reason.getBytes(StandardCharsets.UTF_8)));
    }

    private void complete(HttpResult result) {
      if (pendingCallback == null) {
        return;
      }
      final Consumer<HttpResult> onResult = pendingCallback;
      pendingCallback = null;
      busy.remove(this);
      timer.cancel();
      onResult.accept(result);
    }

    @Override
    public void startResponse(HttpVersion version, int code, String reason) {
      status = code;
      body = new byte[0];
      closing = version == HttpVersion.HTTP_1_0;
    }

    @Override
    public void parsedHeader(HttpField field) {
      closing |= field.getHeader() == HttpHeader.CONNECTION && field.contains("close");
    }

    @Override
    public boolean headerComplete() {
      return false;
    }

    @Override
    public boolean content(ByteBuffer item) {
      if (body.length + item.remaining() > MAX_BODY_BYTES) {
        fail("response too large");
        return true;
      }
      int length = body.length;
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
      messageDone = true;
      return true;
    }

    @Override
    public void earlyEOF() {
      fail("response truncated");
    }

    @Override
    public void badMessage(org.eclipse.jetty.http.HttpException failure) {
      fail("invalid HTTP response");
    }
  }
}
