package io.hickorydrift.core.statement;

import io.hickorydrift.core.message.Position;

/**
 * Status report of a target.
 *
 * <p>Thread safety: immutable.
 *
 * @param primary whether it is the primary
 * @param term the latest term that it has seen
 * @param received last position in its log, applied or not
 * @param pausedTerm term with which it was told to receive nothing, 0 if it receives
 * @param lagMs replica lag: how far applying the log is behind receiving it, in milliseconds
 * @param busySlots number of statements that run or are queued
 * @param connections number of open connections, from all callers
 */
public record TargetReport(
    boolean primary,
    long term,
    Position received,
    long pausedTerm,
    long lagMs,
    int busySlots,
    int connections) {
  /** Returns whether it receives no commits. */
  public boolean isPaused() {
    return !primary && pausedTerm > term;
  }
}
