package io.hickorydrift.core.declaration;

/** What a route promises about the data that its reads see. */
public enum Consistency {
  /** Every commit acknowledged before the read. */
  PRIMARY,
  /** Every commit acknowledged longer ago than the route's greatest staleness. */
  BOUNDED_STALENESS,
  /** As bounded staleness, and also every commit of the same session. */
  READ_YOUR_WRITES
}
