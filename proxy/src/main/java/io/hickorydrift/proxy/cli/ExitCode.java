package io.hickorydrift.proxy.cli;

/**
 * Exit codes of the command line.
 *
 * <p>Thread safety: stateless.
 */
public final class ExitCode {
  /** Done. */
  public static final int OK = 0;

  /** The command ran and failed. */
  public static final int FAILED = 1;

  /** The command line or a settings file is wrong; nothing was started or changed. */
  public static final int USAGE = 2;

  /** The change conflicts with one made since. */
  public static final int CONFLICT = 3;

  /** It is not known whether the change was accepted; the same command again settles it. */
  public static final int UNKNOWN = 4;

  private ExitCode() {}
}
