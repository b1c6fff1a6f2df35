package io.hickorydrift.core.flow;

/** Reason why an exchange ended without an answer. */
public enum ExchangeFailure {
  /** Nothing was sent, so the request certainly had no effect. */
  NOT_SENT,
  /** The target's queue is too long for the request's deadline; nothing was sent. */
  QUEUE_FULL,
  /** The request was sent, but no complete answer arrived: its effect is unknown. */
  NO_ANSWER
}
