package io.hickorydrift.core.message;

import java.util.List;

/**
 * Body of an answer to a caller.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param code result code
 * @param name name of the result code
 * @param columns column names
 * @param rows rows, each a list of values
 * @param updateCount rows changed
 * @param session session token for the caller's next request
 * @param transaction id of the open transaction, else null
 * @param instance entry instance that answered
 * @param target target that served the request, else null
 * @param targetRole primary or replica, else null
 * @param servedAt applied position of the target
 * @param ageMs proven upper bound on the staleness of the data in milliseconds, null if there is none
 * @param duplicate true if an earlier attempt took effect
 * @param retryAfterMs delay before a retry, in milliseconds
 * @param message reason for a refusal, else null
 */
public record CallerAnswer(long code, String name, List<String> columns, List<Object> rows,
    long updateCount, String session, String transaction, String instance, String target,
    String targetRole, Position servedAt, Long ageMs, boolean duplicate, Long retryAfterMs,
    String message) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builder of {@code CallerAnswer}. Not thread safe.
   */
  public static final class Builder {
    private long code;

    private String name;

    private List<String> columns;

    private List<Object> rows;

    private long updateCount;

    private String session;

    private String transaction;

    private String instance;

    private String target;

    private String targetRole;

    private Position servedAt;

    private Long ageMs;

    private boolean duplicate;

    private Long retryAfterMs;

    private String message;

    /**
     * Sets {@code code}: result code.
     */
    public Builder code(long code) {
      this.code = code;
      return this;
    }

    /**
     * Sets {@code name}: name of the result code.
     */
    public Builder name(String name) {
      this.name = name;
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
     * Sets {@code session}: session token for the caller's next request.
     */
    public Builder session(String session) {
      this.session = session;
      return this;
    }

    /**
     * Sets {@code transaction}: id of the open transaction, else null.
     */
    public Builder transaction(String transaction) {
      this.transaction = transaction;
      return this;
    }

    /**
     * Sets {@code instance}: entry instance that answered.
     */
    public Builder instance(String instance) {
      this.instance = instance;
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
     * Sets {@code servedAt}: applied position of the target.
     */
    public Builder servedAt(Position servedAt) {
      this.servedAt = servedAt;
      return this;
    }

    /**
     * Sets {@code ageMs}: proven upper bound on the staleness of the data in milliseconds, null if there is none.
     */
    public Builder ageMs(Long ageMs) {
      this.ageMs = ageMs;
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
     * Sets {@code retryAfterMs}: delay before a retry, in milliseconds.
     */
    public Builder retryAfterMs(Long retryAfterMs) {
      this.retryAfterMs = retryAfterMs;
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
    public CallerAnswer build() {
      return new CallerAnswer(code, name, columns, rows, updateCount, session, transaction, instance, target, targetRole, servedAt, ageMs, duplicate, retryAfterMs, message);
    }
  }
}
