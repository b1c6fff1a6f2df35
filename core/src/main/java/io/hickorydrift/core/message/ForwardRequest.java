package io.hickorydrift.core.message;

import java.util.List;

/**
 * A caller's request on its way from the entry instance to a home instance of its group. Never carries the caller's key.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param correlationId echoed in the answer
 * @param organisation organisation that the request runs for
 * @param group database group
 * @param op what to do
 * @param sql the statement, else null
 * @param params values of the statement's parameters
 * @param sessionPosition position that the session has to see
 * @param maxAgeMs accepted age of data in milliseconds, -1 for any age
 * @param deadlineMs time left, in milliseconds
 * @param requestId id of a write
 * @param transactionId open transaction, else null
 */
public record ForwardRequest(long correlationId, String organisation, String group, HomeOp op,
    String sql, List<Object> params, Position sessionPosition, long maxAgeMs, long deadlineMs,
    String requestId, String transactionId) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builds a {@code ForwardRequest}. Not thread safe.
   */
  public static final class Builder {
    private long correlationId;

    private String organisation;

    private String group;

    private HomeOp op;

    private String sql;

    private List<Object> params;

    private Position sessionPosition;

    private long maxAgeMs;

    private long deadlineMs;

    private String requestId;

    private String transactionId;

    /**
     * Sets the echoed in the answer.
     */
    public Builder correlationId(long correlationId) {
      this.correlationId = correlationId;
      return this;
    }

    /**
     * Sets the organisation that the request runs for.
     */
    public Builder organisation(String organisation) {
      this.organisation = organisation;
      return this;
    }

    /**
     * Sets the database group.
     */
    public Builder group(String group) {
      this.group = group;
      return this;
    }

    /**
     * Sets the what to do.
     */
    public Builder op(HomeOp op) {
      this.op = op;
      return this;
    }

    /**
     * Sets the the statement, else null.
     */
    public Builder sql(String sql) {
      this.sql = sql;
      return this;
    }

    /**
     * Sets the values of the statement's parameters.
     */
    public Builder params(List<Object> params) {
      this.params = params;
      return this;
    }

    /**
     * Sets the position that the session has to see.
     */
    public Builder sessionPosition(Position sessionPosition) {
      this.sessionPosition = sessionPosition;
      return this;
    }

    /**
     * Sets the accepted age of data in milliseconds, -1 for any age.
     */
    public Builder maxAgeMs(long maxAgeMs) {
      this.maxAgeMs = maxAgeMs;
      return this;
    }

    /**
     * Sets the time left, in milliseconds.
     */
    public Builder deadlineMs(long deadlineMs) {
      this.deadlineMs = deadlineMs;
      return this;
    }

    /**
     * Sets the id of a write.
     */
    public Builder requestId(String requestId) {
      this.requestId = requestId;
      return this;
    }

    /**
     * Sets the open transaction, else null.
     */
    public Builder transactionId(String transactionId) {
      this.transactionId = transactionId;
      return this;
    }

    /**
     * Returns the record.
     */
    public ForwardRequest build() {
      return new ForwardRequest(correlationId, organisation, group, op, sql, params, sessionPosition, maxAgeMs, deadlineMs, requestId, transactionId);
    }
  }
}
