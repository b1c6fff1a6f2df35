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
 * @param primary primary of that term, null if the target has no primary recorded for it
 * @param applied last entry visible to reads
 * @param logged last entry in the log
 * @param position log entry of the write, else null
 * @param columns column names of the result
 * @param rows rows, each a list of values
 * @param updateCount rows changed
 * @param duplicate true if an earlier request with the same id took effect
 * @param message reason for a refusal, else null
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
   * Builder of {@code TargetAnswer}. Not thread safe.
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
     * Sets {@code exchangeId}: id of the request.
     */
    public Builder exchangeId(long exchangeId) {
      this.exchangeId = exchangeId;
      return this;
    }

    /**
     * Sets {@code status}: outcome.
     */
    public Builder status(TargetStatus status) {
      this.status = status;
      return this;
    }

    /**
     * Sets {@code term}: highest term that the target has accepted.
     */
    public Builder term(long term) {
      this.term = term;
      return this;
    }

    /**
     * Sets {@code primary}: primary of that term, null if the target has no primary recorded for it.
     */
    public Builder primary(String primary) {
      this.primary = primary;
      return this;
    }

    /**
     * Sets {@code applied}: last entry visible to reads.
     */
    public Builder applied(Position applied) {
      this.applied = applied;
      return this;
    }

    /**
     * Sets {@code logged}: last entry in the log.
     */
    public Builder logged(Position logged) {
      this.logged = logged;
      return this;
    }

    /**
     * Sets {@code position}: log entry of the write, else null.
     */
    public Builder position(Position position) {
      this.position = position;
      return this;
    }

    /**
     * Sets {@code columns}: column names of the result.
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
     * Sets {@code duplicate}: true if an earlier request with the same id took effect.
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
    public TargetAnswer build() {
      return new TargetAnswer(exchangeId, status, term, primary, applied, logged, position, columns, rows, updateCount, duplicate, message);
    }
  }
}
