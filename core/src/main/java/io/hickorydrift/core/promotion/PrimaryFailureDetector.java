package io.hickorydrift.core.promotion;

import io.hickorydrift.core.directory.GroupState;
import io.hickorydrift.core.directory.TargetState;
import java.util.List;

/**
 * Judges whether a primary has to be replaced. A promotion gives up commits that no replica has
 * received, so that a primary which any instance reaches is kept: being cut off from some is not
 * being dead.
 *
 * <p>Thread safety: immutable.
 */
public final class PrimaryFailureDetector {
  private final long deadAfterMs;
  private final long agreeAfterMs;

  /**
   * A judge that calls a primary dead if this instance has not reached it for {@code deadAfterMs}
   * and more than half of the fleet agrees, each for {@code agreeAfterMs} or longer.
   */
  public PrimaryFailureDetector(long deadAfterMs, long agreeAfterMs) {
    this.deadAfterMs = deadAfterMs;
    this.agreeAfterMs = agreeAfterMs;
  }

  /**
   * Judges the primary of {@code group}.
   *
   * @param ownUnreachableMs how long this instance has not reached it; 0 if it does
   * @param reports what the peers say that answered lately
   * @param fleetSize number of instances, this one included
   */
  public PrimaryVerdict evaluate(
      GroupState group, long ownUnreachableMs, List<PrimaryReport> reports, int fleetSize) {
    TargetState primary = group.primary();
    if (primary == null) {
      return group.targets().isEmpty() ? PrimaryVerdict.KEEP : PrimaryVerdict.ABSENT;
    }
    if (primary.entry().draining()) {
      return PrimaryVerdict.LEAVING;
    }
    if (ownUnreachableMs < deadAfterMs) {
      return PrimaryVerdict.KEEP;
    }
    int agree = 1;
    for (PrimaryReport report : reports) {
      if (!report.primary().equals(primary.entry().id())) {
        continue;
      }
      if (report.unreachableMs() == 0) {
        return PrimaryVerdict.KEEP;
      }
      if (report.unreachableMs() >= agreeAfterMs) {
        agree++;
      }
    }
    return agree * 2 > fleetSize ? PrimaryVerdict.DEAD : PrimaryVerdict.KEEP;
  }
}
