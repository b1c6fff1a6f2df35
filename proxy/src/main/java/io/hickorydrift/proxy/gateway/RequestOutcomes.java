package io.hickorydrift.proxy.gateway;

import io.hickorydrift.proxy.port.PromotionClient.Result;

/**
 * What is known of the promotion requests that were sent for one target under one fence.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class RequestOutcomes {
  private int inFlight;
  private boolean accepted;
  private boolean unanswered;

  void recordSent() {
    inFlight++;
  }

  void recordAnswer(Result result) {
    inFlight--;
    accepted |= result == Result.ACCEPTED;
    unanswered |= result == Result.UNKNOWN;
  }

  /** Returns whether a request was accepted, so that the target leads soon. */
  boolean isAccepted() {
    return accepted;
  }

  /** Returns whether a request may have been carried out, or may still be. */
  boolean mayTakeEffect() {
    return inFlight > 0 || accepted || unanswered;
  }
}
