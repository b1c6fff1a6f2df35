package io.hickorydrift.proxy.cli;

/** Signals an invalid command line. */
final class UsageException extends RuntimeException {
  private static final long serialVersionUID = 1;

  UsageException(String message) {
    super(message);
  }
}
