package io.hickorydrift.core.message;

import java.util.List;

/**
 * Request of a caller, forwarded by the entry instance to a home instance of the group. Never carries the caller's key.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param correlationId echoed in the answer
 * @param organisation organisation that the request runs for
 * @param group database group
 * @param op requested operation
 * @param sql the statement, else null
 * @param params values of the statement's parameters
 * @param sessionPosition minimum position that the session must observe
 * @param maxAgeMs maximum staleness of the data in milliseconds, -1 for no bound
 * @param deadlineMs time left until the deadline, in milliseconds
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
   * Builder of {@code ForwardRequest}. Not thread safe.
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
     * Sets {@code correlationId}: echoed in the answer.
     */
    public Builder correlationId(long correlationId) {
      this.correlationId = correlationId;
      return this;
    }

    /**
     * Sets {@code organisation}: organisation that the request runs for.
     */
    public Builder organisation(String organisation) {
      this.organisation = organisation;
      return this;
    }

    /**
     * Sets {@code group}: database group.
     */
    public Builder group(String group) {
      this.group = group;
      return this;
    }

    /**
     * Sets {@code op}: requested operation.
     */
    public Builder op(HomeOp op) {
      this.op = op;
      return this;
    }

    /**
     * Sets {@code sql}: the statement, else null.
     */
    public Builder sql(String sql) {
      this.sql = sql;
      return this;
    }

    /**
     * Sets {@code params}: values of the statement's parameters.
     */
    public Builder params(List<Object> params) {
      this.params = params;
      return this;
    }

    /**
     * Sets {@code sessionPosition}: minimum position that the session must observe.
     */
    public Builder sessionPosition(Position sessionPosition) {
      this.sessionPosition = sessionPosition;
      return this;
    }

    /**
     * Sets {@code maxAgeMs}: maximum staleness of the data in milliseconds, -1 for no bound.
     */
    public Builder maxAgeMs(long maxAgeMs) {
      this.maxAgeMs = maxAgeMs;
      return this;
    }

    /**
     * Sets {@code deadlineMs}: time left until the deadline, in milliseconds.
     */
    public Builder deadlineMs(long deadlineMs) {
      this.deadlineMs = deadlineMs;
      return this;
    }

    /**
     * Sets {@code requestId}: id of a write.
     */
    public Builder requestId(String requestId) {
      this.requestId = requestId;
      return this;
    }

    /**
     * Sets {@code transactionId}: open transaction, else null.
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
