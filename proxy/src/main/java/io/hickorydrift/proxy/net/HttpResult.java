package io.hickorydrift.proxy.net;

import java.util.Locale;
import java.util.Map;

/**
 * Result of an HTTP call: the response of the server, or the lack of one.
 *
 * <p>Thread safety: immutable.
 *
 * @param status status of the response; {@link #NO_ANSWER} if there was none
 * @param body body of the response, or the reason why there was none
 * @param headers headers of the response by lower-case name; the values of a repeated one are
 *     joined by commas
 */
public record HttpResult(int status, byte[] body, Map<String, String> headers) {
  /** Status of a call without a response. */
  public static final int NO_ANSWER = 0;

  private static final int OK = 200;

  /** Creates a result without headers. */
  public HttpResult(int status, byte[] body) {
    this(status, body, Map.of());
  }

  /** Returns the header {@code name}, in whichever case it was sent, or null if there is none. */
  public String header(String name) {
    return headers.get(name.toLowerCase(Locale.ROOT));
  }

  /** Returns whether the status of the response is 200. */
  public boolean isOk() {
    return status == OK;
  }
}
