package io.hickorydrift.proxy.port;

import java.util.function.Consumer;

/** Client for requests that promote a target to primary of its group. */
public interface PromotionClient {
  /** Outcome of a promotion request. */
  enum Result {
    /** Accepted; the target becomes the primary soon. */
    ACCEPTED,
    /** Refused because of an outdated fence, or because the target is not running. */
    REFUSED,
    /** Nothing was done; the request may be retried. */
    NOT_DONE,
    /** No response; the promotion may still take place, also later. */
    UNKNOWN
  }

  /**
   * Requests that {@code target} become the primary of {@code group}.
   *
   * @param holder id of the instance that holds the promotion lease
   * @param fence fencing token; increases monotonically
   */
  void requestPromotion(
      String group, String target, String holder, long fence, Consumer<Result> onResult);

  /** Sends further calls to {@code address}. Calls in progress at another one get no response. */
  void setAddress(String address);
}
