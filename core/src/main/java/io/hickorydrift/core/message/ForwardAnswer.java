package io.hickorydrift.core.message;

import java.util.List;

/**
 * Answer of a home instance.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param correlationId id of the request
 * @param code result code
 * @param columns column names
 * @param rows rows, each a list of values
 * @param updateCount rows changed
 * @param position position that the session must see from now on, else null
 * @param target target that served, else null
 * @param targetRole primary or replica, else null
 * @param servedAt applied position of the target when it answered
 * @param ageMs proven upper bound of the age of the data in milliseconds, -1 if none is proven
 * @param retryAfterMs when to come back after a refusal, in milliseconds
 * @param transactionId transaction opened, else null
 * @param duplicate true if an earlier try had taken effect
 * @param message reason of a refusal, else null
 */
public record ForwardAnswer(long correlationId, long code, List<String> columns, List<Object> rows,
    long updateCount, Position position, String target, String targetRole, Position servedAt,
    long ageMs, long retryAfterMs, String transactionId, boolean duplicate, String message) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builds a {@code ForwardAnswer}. Not thread safe.
   */
  public static final class Builder {
    private long correlationId;

    private long code;

    private List<String> columns;

    private List<Object> rows;

    private long updateCount;

    private Position position;

    private String target;

    private String targetRole;

    private Position servedAt;

    private long ageMs;

    private long retryAfterMs;

    private String transactionId;

    private boolean duplicate;

    private String message;

    /**
     * Sets the id of the request.
     */
    public Builder correlationId(long correlationId) {
      this.correlationId = correlationId;
      return this;
    }

    /**
     * Sets the result code.
     */
    public Builder code(long code) {
      this.code = code;
      return this;
    }

    /**
     * Sets the column names.
     */
    public Builder columns(List<String> columns) {
      this.columns = columns;
      return this;
    }

    /**
     * Sets the rows, each a list of values.
     */
    public Builder rows(List<Object> rows) {
      this.rows = rows;
      return this;
    }

    /**
     * Sets the rows changed.
     */
    public Builder updateCount(long updateCount) {
      this.updateCount = updateCount;
      return this;
    }

    /**
     * Sets the position that the session must see from now on, else null.
     */
    public Builder position(Position position) {
      this.position = position;
      return this;
    }

    /**
     * Sets the target that served, else null.
     */
    public Builder target(String target) {
      this.target = target;
      return this;
    }

    /**
     * Sets the primary or replica, else null.
     */
    public Builder targetRole(String targetRole) {
      this.targetRole = targetRole;
      return this;
    }

    /**
     * Sets the applied position of the target when it answered.
     */
    public Builder servedAt(Position servedAt) {
      this.servedAt = servedAt;
      return this;
    }

    /**
     * Sets the proven upper bound of the age of the data in milliseconds, -1 if none is proven.
     */
    public Builder ageMs(long ageMs) {
      this.ageMs = ageMs;
      return this;
    }

    /**
     * Sets the when to come back after a refusal, in milliseconds.
     */
    public Builder retryAfterMs(long retryAfterMs) {
      this.retryAfterMs = retryAfterMs;
      return this;
    }

    /**
     * Sets the transaction opened, else null.
     */
    public Builder transactionId(String transactionId) {
      this.transactionId = transactionId;
      return this;
    }

    /**
     * Sets the true if an earlier try had taken effect.
     */
    public Builder duplicate(boolean duplicate) {
      this.duplicate = duplicate;
      return this;
    }

    /**
     * Sets the reason of a refusal, else null.
     */
    public Builder message(String message) {
      this.message = message;
      return this;
    }

    /**
     * Returns the record.
     */
    public ForwardAnswer build() {
      return new ForwardAnswer(correlationId, code, columns, rows, updateCount, position, target, targetRole, servedAt, ageMs, retryAfterMs, transactionId, duplicate, message);
    }
  }
}
