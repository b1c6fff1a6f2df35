package io.hickorydrift.proxy.port;

import java.util.function.Consumer;

/** Orders that make a target the primary of its group. */
public interface PromotionClient {
  /** How an order ended. */
  enum Result {
    /** Taken; the target leads soon. */
    ACCEPTED,
    /** Refused for an older fence, or since the target is not running. */
    REFUSED,
    /** Nothing was done; it may be sent again. */
    NOT_DONE,
    /** No answer; it may be carried out, also later. */
    UNKNOWN
  }

  /** Orders {@code target} to lead {@code group}, under a fence that only grows. */
  void requestPromotion(
      String group, String target, String holder, long fence, Consumer<Result> onResult);
}
