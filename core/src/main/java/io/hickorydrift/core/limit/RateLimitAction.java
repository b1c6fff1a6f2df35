package io.hickorydrift.core.limit;

import io.hickorydrift.core.message.GrantAnswer;
import io.hickorydrift.core.message.GrantRequest;

/** What the allowance wants done. */
public sealed interface RateLimitAction {
  /**
   * Let a waiting request in.
   *
   * @param ticket ticket of the request
   */
  record Admit(long ticket) implements RateLimitAction {}

  /**
   * Refuse a request.
   *
   * @param ticket ticket of the request
   * @param retryAfterMs when to come back, in milliseconds
   */
  record Refuse(long ticket, long retryAfterMs) implements RateLimitAction {}

  /**
   * Ask a peer for tokens.
   *
   * @param peer instance to ask
   * @param request what to ask for
   */
  record RequestTokens(String peer, GrantRequest request) implements RateLimitAction {}

  /**
   * Answer a peer that asked.
   *
   * @param peer instance that asked
   * @param answer the answer
   */
  record Grant(String peer, GrantAnswer answer) implements RateLimitAction {}
}
