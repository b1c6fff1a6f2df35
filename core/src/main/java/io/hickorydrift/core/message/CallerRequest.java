package io.hickorydrift.core.message;

import java.util.List;

/**
 * Body of a caller's request.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param sql the statement
 * @param params values of the statement's parameters
 * @param maxAgeMs maximum staleness of the data in milliseconds; null for the route's default
 * @param deadlineMs maximum time that the caller waits, in milliseconds; null for the route's default
 */
public record CallerRequest(String sql, List<Object> params, Long maxAgeMs, Long deadlineMs) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builder of {@code CallerRequest}. Not thread safe.
   */
  public static final class Builder {
    private String sql;

    private List<Object> params;

    private Long maxAgeMs;

    private Long deadlineMs;

    /**
     * Sets {@code sql}: the statement.
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
     * Sets {@code maxAgeMs}: maximum staleness of the data in milliseconds; null for the route's default.
     */
    public Builder maxAgeMs(Long maxAgeMs) {
      this.maxAgeMs = maxAgeMs;
      return this;
    }

    /**
     * Sets {@code deadlineMs}: maximum time that the caller waits, in milliseconds; null for the route's default.
     */
    public Builder deadlineMs(Long deadlineMs) {
      this.deadlineMs = deadlineMs;
      return this;
    }

    /**
     * Returns the record.
     */
    public CallerRequest build() {
      return new CallerRequest(sql, params, maxAgeMs, deadlineMs);
    }
  }
}
