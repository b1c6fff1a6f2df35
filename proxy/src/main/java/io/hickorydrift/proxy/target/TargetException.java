package io.hickorydrift.proxy.target;

/**
 * Thrown when a connection could not be opened or an exchange ended without a complete answer; the
 * exchange may have taken effect.
 */
public final class TargetException extends RuntimeException {
  private static final long serialVersionUID = 1;

  TargetException(String message) {
    super(message, null, false, false);
  }
}
