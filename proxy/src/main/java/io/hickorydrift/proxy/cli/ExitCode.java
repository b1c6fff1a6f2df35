package io.hickorydrift.proxy.cli;

/**
 * Exit codes of the command line.
 *
 * <p>Thread safety: stateless.
 */
public final class ExitCode {
  /** The command succeeded. */
  public static final int OK = 0;

  /** The command ran and failed. */
  public static final int FAILED = 1;

  /** The command line or a settings file is invalid; nothing was started or changed. */
  public static final int USAGE = 2;

  /** The change conflicts with one accepted after its base revision. */
  public static final int CONFLICT = 3;

  /** It is unknown whether the change was accepted; running the same command again resolves it. */
  public static final int UNKNOWN = 4;

  private ExitCode() {}
}
