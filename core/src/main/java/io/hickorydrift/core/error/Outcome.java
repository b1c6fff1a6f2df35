package io.hickorydrift.core.error;

/** What a caller may conclude from a result code about the effect of its request. */
public enum Outcome {
  /** The request took effect. */
  DONE,
  /** The request had no effect and never will. */
  NOT_RUN,
  /** The request may have had an effect; asking again with the same request id settles it. */
  UNKNOWN
}
