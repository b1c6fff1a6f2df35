package io.hickorydrift.core.failover;

import io.hickorydrift.core.message.PrimaryNotice;
import io.hickorydrift.core.message.Suspicion;

/** What an observer of a group wants done. */
public sealed interface FailoverAction {
  /**
   * Ask a target for its state.
   *
   * @param target target to ask
   * @param freshConnection whether the exchange must open a connection of its own
   */
  record Probe(String target, boolean freshConnection) implements FailoverAction {}

  /**
   * Tell the other observers.
   *
   * @param suspicion what to tell
   */
  record SendSuspicion(Suspicion suspicion) implements FailoverAction {}

  /**
   * Fence a target on a fresh connection: it must refuse every lower term from then on.
   *
   * @param target target to fence
   * @param term the new term
   */
  record Fence(String target, long term) implements FailoverAction {}

  /**
   * Make a target the primary of a term.
   *
   * @param target the target
   * @param term the term, fenced before at a majority
   */
  record Promote(String target, long term) implements FailoverAction {}

  /**
   * Publish a finished promotion to all instances and to the store.
   *
   * @param notice the new primary and its term
   */
  record PublishPrimary(PrimaryNotice notice) implements FailoverAction {}

  /**
   * Reserve a term of one's own in the store.
   *
   * @param aboveTerm the term must be higher than this one
   */
  record ReserveTerm(long aboveTerm) implements FailoverAction {}
}
