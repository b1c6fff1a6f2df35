package io.hickorydrift.core.message;

import java.util.List;

/**
 * Body of a caller's request.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param sql the statement
 * @param params values of its parameters
 * @param maxAgeMs accepted age of data in milliseconds; null takes the route's
 * @param deadlineMs time the caller will wait, in milliseconds; null takes the route's
 */
public record CallerRequest(String sql, List<Object> params, Long maxAgeMs, Long deadlineMs) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builds a {@code CallerRequest}. Not thread safe.
   */
  public static final class Builder {
    private String sql;

    private List<Object> params;

    private Long maxAgeMs;

    private Long deadlineMs;

    /**
     * Sets the the statement.
     */
    public Builder sql(String sql) {
      this.sql = sql;
      return this;
    }

    /**
     * Sets the values of its parameters.
     */
    public Builder params(List<Object> params) {
      this.params = params;
      return this;
    }

    /**
     * Sets the accepted age of data in milliseconds; null takes the route's.
     */
    public Builder maxAgeMs(Long maxAgeMs) {
      this.maxAgeMs = maxAgeMs;
      return this;
    }

    /**
     * Sets the time the caller will wait, in milliseconds; null takes the route's.
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
