package io.hickorydrift.core.limit;

import io.hickorydrift.core.message.GrantAnswer;
import io.hickorydrift.core.message.GrantRequest;

/** What the allowance wants done. */
public sealed interface AllowanceAction {
  /**
   * Let a waiting request in.
   *
   * @param ticket ticket of the request
   */
  record Admit(long ticket) implements AllowanceAction {}

  /**
   * Refuse a request.
   *
   * @param ticket ticket of the request
   * @param retryAfterMs when to come back, in milliseconds
   */
  record Refuse(long ticket, long retryAfterMs) implements AllowanceAction {}

  /**
   * Ask a peer for tokens.
   *
   * @param peer instance to ask
   * @param request what to ask for
   */
  record Ask(String peer, GrantRequest request) implements AllowanceAction {}

  /**
   * Answer a peer that asked.
   *
   * @param peer instance that asked
   * @param answer the answer
   */
  record Grant(String peer, GrantAnswer answer) implements AllowanceAction {}
}
