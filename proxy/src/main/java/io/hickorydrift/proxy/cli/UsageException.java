package io.hickorydrift.proxy.cli;

/** The command line is wrong. */
final class UsageException extends RuntimeException {
  private static final long serialVersionUID = 1;

  UsageException(String message) {
    super(message);
  }
}
