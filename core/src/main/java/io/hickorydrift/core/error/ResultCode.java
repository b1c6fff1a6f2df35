package io.hickorydrift.core.error;

/**
 * Numbered results of requests. Numbers never change their meaning; docs/RESULT_CODES.md lists
 * them. The hundreds tell the subject: 0 done, 1 caller's mistake, 2 keys, 3 limits, 4 targets, 5
 * outcome unknown, 6 settings, 7 internal.
 *
 * <p>Thread safety: immutable.
 */
public enum ResultCode {
  /** The request took effect. */
  OK(0, 200, Outcome.DONE, "done"),

  /** The body is not the JSON that the route takes. */
  MALFORMED_REQUEST(100, 400, Outcome.NOT_RUN, "the body is not valid JSON for this route"),
  /** The body is larger than allowed. */
  REQUEST_TOO_LARGE(101, 413, Outcome.NOT_RUN, "the body is larger than allowed"),
  /** No such route. */
  UNKNOWN_ROUTE(102, 404, Outcome.NOT_RUN, "no such route"),
  /** The session token is forged, damaged or of another organisation. */
  BAD_SESSION(103, 400, Outcome.NOT_RUN, "the session token is not valid here"),
  /** The body did not arrive in time or was cut short. */
  REQUEST_INCOMPLETE(104, 408, Outcome.NOT_RUN, "the body did not arrive whole in time"),
  /** The target refused the statement; it was rolled back. */
  STATEMENT_FAILED(105, 422, Outcome.NOT_RUN, "the target refused the statement"),
  /** The transaction is not open: finished, timed out or never begun. */
  NO_TRANSACTION(106, 409, Outcome.NOT_RUN, "no such open transaction"),

  /** No key, or a key that was never granted or is withdrawn. */
  KEY_REFUSED(200, 401, Outcome.NOT_RUN, "the key is missing, unknown or withdrawn"),
  /** The key's organisation may not use this route. */
  ROUTE_FORBIDDEN(201, 403, Outcome.NOT_RUN, "the key's organisation may not use this route"),

  /** The organisation is over its rate. */
  RATE_EXCEEDED(300, 429, Outcome.NOT_RUN, "the organisation's rate is used up"),
  /** The queue is too long for the request's deadline. */
  OVERLOADED(301, 503, Outcome.NOT_RUN, "the wait would pass the deadline"),

  /** No target can serve the request now. */
  NO_TARGET(400, 503, Outcome.NOT_RUN, "no target can serve the request now"),
  /** The group has no primary now. */
  NO_PRIMARY(401, 503, Outcome.NOT_RUN, "the group has no primary now"),
  /** No target's data is proven to be as fresh as the caller asked. */
  TOO_STALE(402, 503, Outcome.NOT_RUN, "no data of the accepted age can be proven"),
  /** No home instance of the group can be reached. */
  NO_HOME(403, 503, Outcome.NOT_RUN, "no instance that serves the group can be reached"),
  /** The primary changed while the transaction was open; it was rolled back. */
  TRANSACTION_LOST(404, 409, Outcome.NOT_RUN, "the transaction was rolled back"),

  /** It is not known whether the request took effect. */
  OUTCOME_UNKNOWN(500, 504, Outcome.UNKNOWN, "it is not known whether the request took effect"),

  /** A settings declaration is not valid. */
  BAD_SETTINGS(600, 422, Outcome.NOT_RUN, "the settings are not valid"),
  /** The subtree changed since the revision that the change was based on. */
  SETTINGS_CONFLICT(601, 409, Outcome.NOT_RUN, "the subtree has changed since"),
  /** The credential does not reach this subtree. */
  OPERATOR_REFUSED(602, 403, Outcome.NOT_RUN, "the credential does not reach this subtree"),
  /** The platform's store does not answer. */
  STORE_UNAVAILABLE(603, 503, Outcome.NOT_RUN, "the platform's store does not answer"),
  /** The store did not say whether it accepted the change. */
  SETTINGS_UNKNOWN(604, 504, Outcome.UNKNOWN, "it is not known whether the change was accepted"),

  /** A fault of the proxy itself. */
  INTERNAL(700, 500, Outcome.UNKNOWN, "a fault of the proxy"),
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

  /** Returns the code with {@code number}, or {@link #INTERNAL} for a number never given out. */
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

  /** Returns the HTTP status that goes with the code. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns what the caller may conclude. */
  public Outcome outcome() {
    return outcome;
  }

  /** Returns the meaning in one phrase. */
  public String meaning() {
    return meaning;
  }
}
