package io.hickorydrift.core.message;

/**
 * Report that an observer could not reach a primary on a new connection.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param group database group
 * @param term term of the suspected primary
 * @param observer instance that reports the suspicion
 * @param failureDomain failure domain of the observer
 * @param suspected false withdraws the suspicion
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
   * Builder of {@code Suspicion}. Not thread safe.
   */
  public static final class Builder {
    private String group;

    private long term;

    private String observer;

    private String failureDomain;

    private boolean suspected;

    /**
     * Sets {@code group}: database group.
     */
    public Builder group(String group) {
      this.group = group;
      return this;
    }

    /**
     * Sets {@code term}: term of the suspected primary.
     */
    public Builder term(long term) {
      this.term = term;
      return this;
    }

    /**
     * Sets {@code observer}: instance that reports the suspicion.
     */
    public Builder observer(String observer) {
      this.observer = observer;
      return this;
    }

    /**
     * Sets {@code failureDomain}: failure domain of the observer.
     */
    public Builder failureDomain(String failureDomain) {
      this.failureDomain = failureDomain;
      return this;
    }

    /**
     * Sets {@code suspected}: false withdraws the suspicion.
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
