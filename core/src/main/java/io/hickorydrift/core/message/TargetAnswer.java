package io.hickorydrift.core.message;

import java.util.List;

/**
 * Answer of a target to one exchange.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param exchangeId id of the request
 * @param status outcome
 * @param term highest term that the target has accepted
 * @param primary primary of that term as far as the target knows, else null
 * @param applied last entry that reads see
 * @param logged last entry held in the log
 * @param position entry of the write that this answers, else null
 * @param columns column names of a result
 * @param rows rows, each a list of values
 * @param updateCount rows changed
 * @param duplicate true if the request id had taken effect before
 * @param message reason of a refusal, else null
 */
public record TargetAnswer(long exchangeId, TargetStatus status, long term, String primary,
    Position applied, Position logged, Position position, List<String> columns, List<Object> rows,
    long updateCount, boolean duplicate, String message) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builds a {@code TargetAnswer}. Not thread safe.
   */
  public static final class Builder {
    private long exchangeId;

    private TargetStatus status;

    private long term;

    private String primary;

    private Position applied;

    private Position logged;

    private Position position;

    private List<String> columns;

    private List<Object> rows;

    private long updateCount;

    private boolean duplicate;

    private String message;

    /**
     * Sets the id of the request.
     */
    public Builder exchangeId(long exchangeId) {
      this.exchangeId = exchangeId;
      return this;
    }

    /**
     * Sets the outcome.
     */
    public Builder status(TargetStatus status) {
      this.status = status;
      return this;
    }

    /**
     * Sets the highest term that the target has accepted.
     */
    public Builder term(long term) {
      this.term = term;
      return this;
    }

    /**
     * Sets the primary of that term as far as the target knows, else null.
     */
    public Builder primary(String primary) {
      this.primary = primary;
      return this;
    }

    /**
     * Sets the last entry that reads see.
     */
    public Builder applied(Position applied) {
      this.applied = applied;
      return this;
    }

    /**
     * Sets the last entry held in the log.
     */
    public Builder logged(Position logged) {
      this.logged = logged;
      return this;
    }

    /**
     * Sets the entry of the write that this answers, else null.
     */
    public Builder position(Position position) {
      this.position = position;
      return this;
    }

    /**
     * Sets the column names of a result.
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
     * Sets the true if the request id had taken effect before.
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
    public TargetAnswer build() {
      return new TargetAnswer(exchangeId, status, term, primary, applied, logged, position, columns, rows, updateCount, duplicate, message);
    }
  }
}
