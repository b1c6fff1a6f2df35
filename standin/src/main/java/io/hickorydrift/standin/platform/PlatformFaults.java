package io.hickorydrift.standin.platform;

/**
 * Faults that a test injects into the platform.
 *
 * <p>Thread safety: immutable.
 *
 * @param outage whether calls fail: the connection is closed without an answer
 * @param delayMs added latency of each call, in milliseconds
 * @param loseAnswers whether the answers to writes are lost after the writes have taken effect
 */
public record PlatformFaults(boolean outage, long delayMs, boolean loseAnswers) {
  /** No faults. */
  public static final PlatformFaults NONE = new PlatformFaults(false, 0, false);
}
