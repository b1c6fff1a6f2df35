package io.hickorydrift.proxy.net;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A request received by the server and its pending response.
 *
 * <p>Thread safety: confined to the event loop's thread.
 */
public final class HttpExchange {
  private final TcpChannel channel;
  private final String method;
  private final String path;
  private final Map<String, String> headers;
  private final byte[] body;
  private boolean responded;

  HttpExchange(
      TcpChannel channel, String method, String path, Map<String, String> headers, byte[] body) {
    this.channel = channel;
    this.method = method;
    this.path = path;
    this.headers = headers;
    this.body = body;
  }

  /** Returns the request method. */
  public String method() {
    return method;
  }

  /** Returns the request path with the query string. */
  public String path() {
    return path;
  }

  /** Returns the request header with the lower-case {@code name}, or null. */
  public String header(String name) {
    return headers.get(name);
  }

  /** Returns the request body. */
  public byte[] body() {
    return body;
  }

  /** Sends the response. Ignored if one was sent before or the connection is closed. */
  public void respond(int status, String contentType, String content) {
    respond(status, contentType, Map.of(), content);
  }

  /**
   * Sends the response with {@code additionalHeaders}, which hold no line breaks. Ignored if one
   * was sent before or the connection is closed.
   */
  public void respond(
      int status, String contentType, Map<String, String> additionalHeaders, String content) {
    if (responded || channel.isClosed()) {
      return;
    }
    responded = true;
    byte[] bytes = content.getBytes(StandardCharsets.UTF_8);
    OutBuffer out = channel.out();
    out.text("HTTP/1.1 " + status + " -\r\nContent-Type: " + contentType + "\r\n");
    additionalHeaders.forEach((name, value) -> out.text(name).text(": ").text(value).text("\r\n"));
    out.text("Content-Length: ").text(String.valueOf(bytes.length)).text("\r\n\r\n");
    out.octets(bytes);
  }

  /** Returns whether the request was answered or its connection closed. */
  boolean isEnded() {
    return responded || channel.isClosed();
  }

  /** Closes the connection without a response. */
  public void abort() {
    responded = true;
    channel.close();
  }
}
