package io.hickorydrift.proxy.peer;

/** Reports an unauthenticated peer link or an invalid message; the link is closed. */
public final class PeerException extends RuntimeException {
  private static final long serialVersionUID = 1;

  PeerException(String message, Throwable cause) {
    super(message, cause);
  }
}
