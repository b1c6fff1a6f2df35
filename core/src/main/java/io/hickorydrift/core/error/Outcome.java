package io.hickorydrift.core.error;

/** Effect of a request, as far as its result code determines it. */
public enum Outcome {
  /** The request took effect. */
  DONE,
  /** The request had no effect and never will. */
  NOT_RUN,
  /** The request may have had an effect; a retry with the same request id resolves it. */
  UNKNOWN
}
