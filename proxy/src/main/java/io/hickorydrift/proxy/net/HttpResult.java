package io.hickorydrift.proxy.net;

/**
 * An answer of an HTTP server, or that none came.
 *
 * <p>Thread safety: immutable.
 *
 * @param status its status; 0 if no answer came
 * @param body its body, or why no answer came
 */
public record HttpResult(int status, byte[] body) {
  /** Status of a call without an answer. */
  public static final int NO_ANSWER = 0;

  private static final int OK = 200;

  /** Returns whether the call was answered with success. */
  public boolean isOk() {
    return status == OK;
  }
}
