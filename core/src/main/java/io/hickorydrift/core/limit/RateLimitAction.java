package io.hickorydrift.core.limit;

import io.hickorydrift.core.message.GrantAnswer;
import io.hickorydrift.core.message.GrantRequest;

/** An action that a rate limiter returns for its caller to carry out. */
public sealed interface RateLimitAction {
  /**
   * Admits a request.
   *
   * @param ticket ticket of the request
   */
  record Admit(long ticket) implements RateLimitAction {}

  /**
   * Rejects a request.
   *
   * @param ticket ticket of the request
   * @param retryAfterMs delay after which to retry, in milliseconds
   * @param cause why no token was available
   */
  record Refuse(long ticket, long retryAfterMs, Cause cause) implements RateLimitAction {
    /** Rejects a request beyond the rate. */
    public Refuse(long ticket, long retryAfterMs) {
      this(ticket, retryAfterMs, Cause.RATE_EXCEEDED);
    }
  }

  /** Why a request is rejected. */
  enum Cause {
    /** The rate is used up. */
    RATE_EXCEEDED,
    /** The rate is used up, and more operations are served before than tokens are expected. */
    TURN_CANNOT_COME,
    /** This instance has no part of the rate, and no instance that has one answered. */
    NO_HOLDER_REACHED
  }

  /**
   * Requests tokens from a peer.
   *
   * @param peer instance to send the request to
   * @param request the request
   * @param urgentTokens how many of the tokens are for urgent operations
   */
  record RequestTokens(String peer, GrantRequest request, double urgentTokens)
      implements RateLimitAction {
    /** Requests tokens, none of them for urgent operations. */
    public RequestTokens(String peer, GrantRequest request) {
      this(peer, request, 0);
    }
  }

  /**
   * Answers a token request of a peer.
   *
   * @param peer instance that sent the request
   * @param answer the answer
   */
  record Grant(String peer, GrantAnswer answer) implements RateLimitAction {}
}
