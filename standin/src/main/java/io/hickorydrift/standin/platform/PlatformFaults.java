package io.hickorydrift.standin.platform;

/**
 * Faults that a test switches on at the platform.
 *
 * <p>Thread safety: immutable.
 *
 * @param outage whether calls go unanswered until their connection is closed
 * @param delayMs how much longer each call takes, in milliseconds
 * @param loseAnswers whether writes take effect but their answers are lost
 */
public record PlatformFaults(boolean outage, long delayMs, boolean loseAnswers) {
  /** No faults. */
  public static final PlatformFaults NONE = new PlatformFaults(false, 0, false);
}
