package io.hickorydrift.proxy.net;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A request that waits for its answer.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
public final class HttpExchange {
  private final TcpChannel channel;
  private final String method;
  private final String path;
  private final Map<String, String> headers;
  private final byte[] body;
  private boolean answered;

  HttpExchange(
      TcpChannel channel, String method, String path, Map<String, String> headers, byte[] body) {
    this.channel = channel;
    this.method = method;
    this.path = path;
    this.headers = headers;
    this.body = body;
  }

  /** Returns the method. */
  public String method() {
    return method;
  }

  /** Returns path and query. */
  public String path() {
    return path;
  }

  /** Returns a header by its name in lower case, or null. */
  public String header(String name) {
    return headers.get(name);
  }

  /** Returns the body. */
  public byte[] body() {
    return body;
  }

  /** Answers; a second answer, and one to a closed connection, is left out. */
  public void respond(int status, String contentType, String content) {
    if (answered || channel.isClosed()) {
      return;
    }
    answered = true;
    byte[] bytes = content.getBytes(StandardCharsets.UTF_8);
    channel
        .out()
        .text("HTTP/1.1 " + status + " -\r\nContent-Type: " + contentType + "\r\nContent-Length: ")
        .text(String.valueOf(bytes.length))
        .text("\r\n\r\n")
        .octets(bytes);
  }

  /** Closes the connection without an answer. */
  public void abort() {
    answered = true;
    channel.close();
  }
}
