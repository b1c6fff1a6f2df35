package io.hickorydrift.core.message;

/**
 * Announces the primary of a term after a promotion.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param group database group
 * @param term the new term
 * @param primary target promoted in that term
 */
public record PrimaryNotice(String group, long term, String primary) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builder of {@code PrimaryNotice}. Not thread safe.
   */
  public static final class Builder {
    private String group;

    private long term;

    private String primary;

    /**
     * Sets {@code group}: database group.
     */
    public Builder group(String group) {
      this.group = group;
      return this;
    }

    /**
     * Sets {@code term}: the new term.
     */
    public Builder term(long term) {
      this.term = term;
      return this;
    }

    /**
     * Sets {@code primary}: target promoted in that term.
     */
    public Builder primary(String primary) {
      this.primary = primary;
      return this;
    }

    /**
     * Returns the record.
     */
    public PrimaryNotice build() {
      return new PrimaryNotice(group, term, primary);
    }
  }
}
