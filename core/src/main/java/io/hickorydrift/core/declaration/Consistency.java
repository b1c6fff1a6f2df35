package io.hickorydrift.core.declaration;

/** Consistency guarantee of the reads on a route. */
public enum Consistency {
  /** Reads see every commit acknowledged before the read. */
  PRIMARY,
  /** Reads see every commit acknowledged longer ago than the route's maximum staleness. */
  BOUNDED_STALENESS,
  /** Reads see as much as with bounded staleness, and also every commit of the same session. */
  READ_YOUR_WRITES
}
