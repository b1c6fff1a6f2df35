package io.hickorydrift.proxy.platform;

/** The platform did not answer, or not as agreed; a write may have taken effect. */
public final class PlatformException extends RuntimeException {
  private static final long serialVersionUID = 1;

  PlatformException(String message) {
    super(message, null, false, false);
  }
}
