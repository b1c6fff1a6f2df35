package io.hickorydrift.core.flow;

/** Why an exchange brought no answer. */
public enum ExchangeFailure {
  /** Nothing was sent: certainly without effect. */
  NOT_SENT,
  /** The queue for the target is too long for the request's deadline; nothing was sent. */
  QUEUE_FULL,
  /** It was sent, and no whole answer came: the effect is unknown. */
  NO_ANSWER
}
