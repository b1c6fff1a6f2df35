package io.hickorydrift.core.promotion;

/** Result of failure detection: whether a group's primary has to be replaced, and why. */
public enum PrimaryVerdict {
  /** It leads, or there is no evidence that it does not. */
  KEEP,
  /** It is draining. */
  LEAVING,
  /** No target of the group is announced as primary. */
  ABSENT,
  /** It is unreachable from a quorum of instances, and reachable from none that reported. */
  DEAD
}
