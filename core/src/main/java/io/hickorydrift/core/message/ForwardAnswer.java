package io.hickorydrift.core.message;

import java.util.List;

/**
 * Answer of a home instance to a forwarded request.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param correlationId id of the request
 * @param code result code
 * @param columns column names
 * @param rows rows, each a list of values
 * @param updateCount rows changed
 * @param position minimum position for the session's later reads, else null
 * @param target target that served the request, else null
 * @param targetRole primary or replica, else null
 * @param servedAt applied position of the target when it answered
 * @param ageMs proven upper bound on the staleness of the data in milliseconds, -1 if there is none
 * @param retryAfterMs delay before a retry after a refusal, in milliseconds
 * @param transactionId id of the transaction that was opened, else null
 * @param duplicate true if an earlier attempt took effect
 * @param message reason for a refusal, else null
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
   * Builder of {@code ForwardAnswer}. Not thread safe.
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
     * Sets {@code correlationId}: id of the request.
     */
    public Builder correlationId(long correlationId) {
      this.correlationId = correlationId;
      return this;
    }

    /**
     * Sets {@code code}: result code.
     */
    public Builder code(long code) {
      this.code = code;
      return this;
    }

    /**
     * Sets {@code columns}: column names.
     */
    public Builder columns(List<String> columns) {
      this.columns = columns;
      return this;
    }

    /**
     * Sets {@code rows}: rows, each a list of values.
     */
    public Builder rows(List<Object> rows) {
      this.rows = rows;
      return this;
    }

    /**
     * Sets {@code updateCount}: rows changed.
     */
    public Builder updateCount(long updateCount) {
      this.updateCount = updateCount;
      return this;
    }

    /**
     * Sets {@code position}: minimum position for the session's later reads, else null.
     */
    public Builder position(Position position) {
      this.position = position;
      return this;
    }

    /**
     * Sets {@code target}: target that served the request, else null.
     */
    public Builder target(String target) {
      this.target = target;
      return this;
    }

    /**
     * Sets {@code targetRole}: primary or replica, else null.
     */
    public Builder targetRole(String targetRole) {
      this.targetRole = targetRole;
      return this;
    }

    /**
     * Sets {@code servedAt}: applied position of the target when it answered.
     */
    public Builder servedAt(Position servedAt) {
      this.servedAt = servedAt;
      return this;
    }

    /**
     * Sets {@code ageMs}: proven upper bound on the staleness of the data in milliseconds, -1 if there is none.
     */
    public Builder ageMs(long ageMs) {
      this.ageMs = ageMs;
      return this;
    }

    /**
     * Sets {@code retryAfterMs}: delay before a retry after a refusal, in milliseconds.
     */
    public Builder retryAfterMs(long retryAfterMs) {
      this.retryAfterMs = retryAfterMs;
      return this;
    }

    /**
     * Sets {@code transactionId}: id of the transaction that was opened, else null.
     */
    public Builder transactionId(String transactionId) {
      this.transactionId = transactionId;
      return this;
    }

    /**
     * Sets {@code duplicate}: true if an earlier attempt took effect.
     */
    public Builder duplicate(boolean duplicate) {
      this.duplicate = duplicate;
      return this;
    }

    /**
     * Sets {@code message}: reason for a refusal, else null.
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
