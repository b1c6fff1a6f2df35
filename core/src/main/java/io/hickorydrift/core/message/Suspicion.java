package io.hickorydrift.core.message;

/**
 * An observer could not reach a primary on a fresh connection.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param group database group
 * @param term term of the suspected primary
 * @param observer instance that suspects
 * @param failureDomain its failure domain
 * @param suspected false takes the suspicion back
 */
public record Suspicion(String group, long term, String observer, String failureDomain,
    boolean suspected) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builds a {@code Suspicion}. Not thread safe.
   */
  public static final class Builder {
    private String group;

    private long term;

    private String observer;

    private String failureDomain;

    private boolean suspected;

    /**
     * Sets the database group.
     */
    public Builder group(String group) {
      this.group = group;
      return this;
    }

    /**
     * Sets the term of the suspected primary.
     */
    public Builder term(long term) {
      this.term = term;
      return this;
    }

    /**
     * Sets the instance that suspects.
     */
    public Builder observer(String observer) {
      this.observer = observer;
      return this;
    }

    /**
     * Sets the its failure domain.
     */
    public Builder failureDomain(String failureDomain) {
      this.failureDomain = failureDomain;
      return this;
    }

    /**
     * Sets the false takes the suspicion back.
     */
    public Builder suspected(boolean suspected) {
      this.suspected = suspected;
      return this;
    }

    /**
     * Returns the record.
     */
    public Suspicion build() {
      return new Suspicion(group, term, observer, failureDomain, suspected);
    }
  }
}
