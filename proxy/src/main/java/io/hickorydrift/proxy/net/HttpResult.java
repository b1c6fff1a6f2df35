package io.hickorydrift.proxy.net;

/**
 * Result of an HTTP call: the response of the server, or the lack of one.
 *
 * <p>Thread safety: immutable.
 *
 * @param status status of the response; {@link #NO_ANSWER} if there was none
 * @param body body of the response, or the reason why there was none
 */
public record HttpResult(int status, byte[] body) {
  /** Status of a call without a response. */
  public static final int NO_ANSWER = 0;

  private static final int OK = 200;

  /** Returns whether the status of the response is 200. */
  public boolean isOk() {
    return status == OK;
  }
}
