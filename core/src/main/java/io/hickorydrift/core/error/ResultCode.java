package io.hickorydrift.core.error;

/**
 * Result codes of requests. A number never changes its meaning; docs/RESULT_CODES.md lists them.
 * The hundreds digit gives the category: 0 success, 1 invalid request, 2 keys, 3 limits, 4 targets,
 * 5 outcome unknown, 6 settings, 7 internal.
 *
 * <p>Thread safety: immutable.
 */
public enum ResultCode {
  /** The request took effect. */
  OK(0, 200, Outcome.DONE, "done"),

  /** The body is not valid JSON for the route. */
  MALFORMED_REQUEST(100, 400, Outcome.NOT_RUN, "the body is not valid JSON for this route"),
  /** The body exceeds the maximum size. */
  REQUEST_TOO_LARGE(101, 413, Outcome.NOT_RUN, "the body is larger than allowed"),
  /** The route does not exist. */
  UNKNOWN_ROUTE(102, 404, Outcome.NOT_RUN, "no such route"),
  /** The session token is forged, corrupt or belongs to another organisation. */
  BAD_SESSION(103, 400, Outcome.NOT_RUN, "the session token is not valid here"),
  /** The body did not arrive in time or was truncated. */
  REQUEST_INCOMPLETE(104, 408, Outcome.NOT_RUN, "the body did not arrive completely in time"),
  /** The target rejected the statement, which was rolled back. */
  STATEMENT_FAILED(105, 422, Outcome.NOT_RUN, "the target refused the statement"),
  /** The transaction is not open: it has ended, timed out or never began. */
  NO_TRANSACTION(106, 409, Outcome.NOT_RUN, "no such open transaction"),

  /** The key is missing, or it was never granted or has been withdrawn. */
  KEY_REFUSED(200, 401, Outcome.NOT_RUN, "the key is missing, unknown or withdrawn"),
  /** The key's organisation may not use this route. */
  ROUTE_FORBIDDEN(201, 403, Outcome.NOT_RUN, "the key's organisation may not use this route"),

  /** The organisation exceeds its rate limit. */
  RATE_EXCEEDED(300, 429, Outcome.NOT_RUN, "the organisation's rate limit is exceeded"),
  /** The queue is too long for the request's deadline. */
  OVERLOADED(301, 503, Outcome.NOT_RUN, "the queueing time would exceed the deadline"),

  /** No target can serve the request now. */
  NO_TARGET(400, 503, Outcome.NOT_RUN, "no target can serve the request now"),
  /** The group has no primary now. */
  NO_PRIMARY(401, 503, Outcome.NOT_RUN, "the group has no primary now"),
  /** No target is proven to meet the staleness bound of the request. */
  TOO_STALE(402, 503, Outcome.NOT_RUN, "no target is proven to meet the accepted staleness"),
  /** No home instance of the group can be reached. */
  NO_HOME(403, 503, Outcome.NOT_RUN, "no instance that serves the group can be reached"),
  /** The primary changed while the transaction was open; it was rolled back. */
  TRANSACTION_LOST(404, 409, Outcome.NOT_RUN, "the transaction was rolled back"),

  /** It is not known whether the request took effect. */
  OUTCOME_UNKNOWN(500, 504, Outcome.UNKNOWN, "it is not known whether the request took effect"),

  /** A settings declaration is not valid. */
  BAD_SETTINGS(600, 422, Outcome.NOT_RUN, "the settings are not valid"),
  /** The subtree changed after the base revision of the change. */
  SETTINGS_CONFLICT(601, 409, Outcome.NOT_RUN, "the subtree has changed since its base revision"),
  /** The credential does not grant access to this subtree. */
  OPERATOR_REFUSED(
      602, 403, Outcome.NOT_RUN, "the credential does not grant access to this subtree"),
  /** The platform's store does not respond. */
  STORE_UNAVAILABLE(603, 503, Outcome.NOT_RUN, "the platform's store does not respond"),
  /** The store's response did not arrive, so the change may or may not have been accepted. */
  SETTINGS_UNKNOWN(604, 504, Outcome.UNKNOWN, "it is not known whether the change was accepted"),
  /** The platform leaves the write to its operator. */
  STORE_FORBIDDEN(605, 403, Outcome.NOT_RUN, "the platform does not allow this write"),

  /** Internal error of the proxy. */
  INTERNAL(700, 500, Outcome.UNKNOWN, "internal error of the proxy"),
  /** The instance is stopping. */
  STOPPING(701, 503, Outcome.NOT_RUN, "the instance is stopping");

  private final int number;
  private final int httpStatus;
  private final Outcome outcome;
  private final String meaning;

  ResultCode(int number, int httpStatus, Outcome outcome, String meaning) {
    this.number = number;
    this.httpStatus = httpStatus;
    this.outcome = outcome;
    this.meaning = meaning;
  }

  /** Returns the code with {@code number}, or {@link #INTERNAL} if the number is not assigned. */
  public static ResultCode of(long number) {
    for (ResultCode code : values()) {
      if (code.number == number) {
        return code;
      }
    }
    return INTERNAL;
  }

  /** Returns the number shown to callers. */
  public int number() {
    return number;
  }

  /** Returns the HTTP status of the response. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns the effect of the request. */
  public Outcome outcome() {
    return outcome;
  }

  /** Returns a short description that is shown to callers. */
  public String meaning() {
    return meaning;
  }
}
