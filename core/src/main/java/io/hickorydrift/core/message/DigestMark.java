package io.hickorydrift.core.message;

/**
 * Reference to a digest that was sent earlier.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param failureDomain the domain
 * @param mark mark of the domain's last digest
 */
public record DigestMark(String failureDomain, long mark) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builder of {@code DigestMark}. Not thread safe.
   */
  public static final class Builder {
    private String failureDomain;

    private long mark;

    /**
     * Sets {@code failureDomain}: the domain.
     */
    public Builder failureDomain(String failureDomain) {
      this.failureDomain = failureDomain;
      return this;
    }

    /**
     * Sets {@code mark}: mark of the domain's last digest.
     */
    public Builder mark(long mark) {
      this.mark = mark;
      return this;
    }

    /**
     * Returns the record.
     */
    public DigestMark build() {
      return new DigestMark(failureDomain, mark);
    }
  }
}
