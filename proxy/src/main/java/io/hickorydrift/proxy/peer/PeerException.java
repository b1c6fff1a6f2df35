package io.hickorydrift.proxy.peer;

/** A peer link or message that is not to be trusted; the link is closed. */
public final class PeerException extends RuntimeException {
  private static final long serialVersionUID = 1;

  PeerException(String message, Throwable cause) {
    super(message, cause);
  }
}
