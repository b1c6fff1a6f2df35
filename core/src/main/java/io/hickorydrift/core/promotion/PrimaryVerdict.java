package io.hickorydrift.core.promotion;

/** Whether a group's primary has to be replaced, and why. */
public enum PrimaryVerdict {
  /** It leads, or nothing shows that it does not. */
  KEEP,
  /** It is about to leave. */
  LEAVING,
  /** No target of the group says that it leads. */
  ABSENT,
  /** No instance reaches it. */
  DEAD
}
