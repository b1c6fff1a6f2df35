package io.hickorydrift.core.promotion;

/** Result of failure detection: whether a group's primary has to be replaced, and why. */
public enum PrimaryVerdict {
  /** The primary is kept: there is not enough evidence that it has failed. */
  KEEP,
  /** The primary is draining, or in an evacuated failure domain. */
  LEAVING,
  /** No target of the group is announced as primary. */
  ABSENT,
  /**
   * The primary is unreachable from a quorum of instances, and reachable from none that reported.
   */
  DEAD
}
