package io.hickorydrift.core.message;

/**
 * Future term reserved for one run of one instance.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param term the reserved term
 * @param owner run id of the owner
 */
public record TermReservation(long term, String owner) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builder of {@code TermReservation}. Not thread safe.
   */
  public static final class Builder {
    private long term;

    private String owner;

    /**
     * Sets {@code term}: the reserved term.
     */
    public Builder term(long term) {
      this.term = term;
      return this;
    }

    /**
     * Sets {@code owner}: run id of the owner.
     */
    public Builder owner(String owner) {
      this.owner = owner;
      return this;
    }

    /**
     * Returns the record.
     */
    public TermReservation build() {
      return new TermReservation(term, owner);
    }
  }
}
