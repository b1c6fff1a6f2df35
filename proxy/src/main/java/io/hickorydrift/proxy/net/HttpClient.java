package io.hickorydrift.proxy.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;

/**
 * Calls one HTTP server over persistent connections, with one call at a time on each. Uses Jetty's
 * parser on the event loop's thread, since Jetty's own client would add a thread pool.
 *
 * <p>A response names no request, so that order alone tells which call it answers. Invariant: each
 * call ends exactly once; a connection is closed and not reused if its call timed out, or if a byte
 * arrived on it while no call was outstanding. Thread safety: confined to the event loop's thread.
 */
public final class HttpClient {
  private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
  private static final int MAX_HEADERS = 64;
  private static final int MAX_HEADER_CHARS = 1_024;
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
    call(request, timeoutMs, response -> true, onResult);
  }

  /**
   * Sends {@code request} and passes on the result, after {@code timeoutMs} at the latest. A
   * response that {@code belongs} rejects is that to another call: its connection is closed, and
   * this call has no answer.
   */
  public void call(
      HttpRequest request,
      long timeoutMs,
      Predicate<HttpResult> belongs,
      Consumer<HttpResult> onResult) {
    Connection connection = pollQuietConnection();
    if (connection == null) {
      connection = new Connection();
    }
    connection.start(request, timeoutMs, belongs, onResult);
  }

  /**
   * Returns an idle connection on which nothing has arrived since its last response, or null. What
   * has arrived would count as the response to the next call.
   */
  private Connection pollQuietConnection() {
    for (Connection next = idle.pollLast(); next != null; next = idle.pollLast()) {
      if (next.channel.isQuiet()) {
        return next;
      }
      next.channel.close();
    }
    return null;
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
    private Predicate<HttpResult> belongs;
    private Consumer<HttpResult> pendingCallback;
    private EventLoop.Timer timer;
    private final Map<String, String> headers = new HashMap<>();
    private int status;
    private byte[] body = new byte[0];
    private boolean closing;
    private boolean messageDone;

    private void start(
        HttpRequest request,
        long timeoutMs,
        Predicate<HttpResult> responseTest,
        Consumer<HttpResult> onResult) {
      belongs = responseTest;
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
      HttpResult result = new HttpResult(status, body, Map.copyOf(headers));
      if (!belongs.test(result)) {
        fail("response to another call");
        return;
      }
      if (closing || surplus) {
        channel.close();
      } else if (!channel.isClosed()) {
        idle.addLast(this);
      }
      complete(result);
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
      headers.clear();
      closing = version == HttpVersion.HTTP_1_0;
    }

    @Override
    public void parsedHeader(HttpField field) {
      closing |= field.getHeader() == HttpHeader.CONNECTION && field.contains("close");
      String name = field.getName().toLowerCase(Locale.ROOT);
      String former = headers.get(name);
      if (former == null && headers.size() == MAX_HEADERS) {
        return;
      }
      String value = field.getValue() == null ? "" : field.getValue();
      String joined = former == null ? value : former + "," + value;
      if (name.length() + joined.length() <= MAX_HEADER_CHARS) {
        headers.put(name, joined);
      } else {
        headers.remove(name);
      }
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
