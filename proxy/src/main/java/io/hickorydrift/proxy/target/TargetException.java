package io.hickorydrift.proxy.target;

/** An exchange brought no whole answer; it may have taken effect. */
public final class TargetException extends RuntimeException {
  private static final long serialVersionUID = 1;

  TargetException(String message) {
    super(message, null, false, false);
  }
}
