package io.hickorydrift.core.failover;

import io.hickorydrift.core.message.PrimaryNotice;
import io.hickorydrift.core.message.Suspicion;

/** Action that an observer of a group requests from its environment. */
public sealed interface FailoverAction {
  /**
   * Probe a target for its state.
   *
   * @param target target to probe
   * @param freshConnection whether the probe must open a new connection
   */
  record Probe(String target, boolean freshConnection) implements FailoverAction {}

  /**
   * Send a suspicion, or its withdrawal, to the other observers.
   *
   * @param suspicion the suspicion to send
   */
  record SendSuspicion(Suspicion suspicion) implements FailoverAction {}

  /**
   * Fence a target over a new connection. From then on, the target must refuse every lower term.
   *
   * @param target target to fence
   * @param term the new term
   */
  record Fence(String target, long term) implements FailoverAction {}

  /**
   * Promote a target to primary of a term.
   *
   * @param target the target
   * @param term the term, already fenced at a majority of the targets
   */
  record Promote(String target, long term) implements FailoverAction {}

  /**
   * Publish a completed promotion to all instances and to the store.
   *
   * @param notice the new primary and its term
   */
  record PublishPrimary(PrimaryNotice notice) implements FailoverAction {}

  /**
   * Reserve a term in the store that no other observer can use.
   *
   * @param aboveTerm exclusive lower bound of the term
   */
  record ReserveTerm(long aboveTerm) implements FailoverAction {}
}
