package io.hickorydrift.core.promotion;

import io.hickorydrift.core.directory.GroupState;
import io.hickorydrift.core.directory.TargetState;
import java.util.List;

/**
 * Failure detector for primaries that requires a quorum of the fleet. A promotion loses commits
 * that no replica has received, so a primary that any instance reaches is kept: one that is
 * unreachable from some instances may be partitioned from them, not dead.
 *
 * <p>Thread safety: immutable.
 */
public final class PrimaryFailureDetector {
  private final long ownTimeoutMs;
  private final long peerTimeoutMs;

  /**
   * Creates a detector that declares a primary dead if this instance has not reached it for {@code
   * ownTimeoutMs} and more than half of the fleet, this instance included, agrees; a peer agrees if
   * it has not reached the primary for {@code peerTimeoutMs} or longer.
   */
  public PrimaryFailureDetector(long ownTimeoutMs, long peerTimeoutMs) {
    this.ownTimeoutMs = ownTimeoutMs;
    this.peerTimeoutMs = peerTimeoutMs;
  }

  /**
   * Evaluates the primary of {@code group}.
   *
   * @param ownUnreachableMs time for which this instance has not reached the primary; 0 if it is
   *     reachable
   * @param reports recent reports of the peers
   * @param fleetSize number of instances, including this one
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
    if (primary.isEvacuated()) {
      // Without a target outside evacuated domains there is none to promote.
      return group.isEvacuated() ? PrimaryVerdict.KEEP : PrimaryVerdict.LEAVING;
    }
    if (ownUnreachableMs < ownTimeoutMs) {
      return PrimaryVerdict.KEEP;
    }
    int votes = 1;
    for (PrimaryReport report : reports) {
      if (!report.primary().equals(primary.entry().id())) {
        continue;
      }
      if (report.unreachableMs() == 0) {
        return PrimaryVerdict.KEEP;
      }
      if (report.unreachableMs() >= peerTimeoutMs) {
        votes++;
      }
    }
    return votes * 2 > fleetSize ? PrimaryVerdict.DEAD : PrimaryVerdict.KEEP;
  }
}
