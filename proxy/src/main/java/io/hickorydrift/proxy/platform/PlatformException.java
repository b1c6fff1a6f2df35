package io.hickorydrift.proxy.platform;

/** Reports a failed or timed out call of the platform; a write may still have taken effect. */
public final class PlatformException extends RuntimeException {
  private static final long serialVersionUID = 1;

  PlatformException(String message) {
    super(message, null, false, false);
  }
}
