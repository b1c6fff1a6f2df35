package io.hickorydrift.core.message;

/**
 * Position of an entry in a group's log. Positions are ordered by term, then by index.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param term term in which the entry was written
 * @param index index of the entry, from 1; 0 is the empty log
 */
public record Position(long term, long index) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builder of {@code Position}. Not thread safe.
   */
  public static final class Builder {
    private long term;

    private long index;

    /**
     * Sets {@code term}: term in which the entry was written.
     */
    public Builder term(long term) {
      this.term = term;
      return this;
    }

    /**
     * Sets {@code index}: index of the entry, from 1; 0 is the empty log.
     */
    public Builder index(long index) {
      this.index = index;
      return this;
    }

    /**
     * Returns the record.
     */
    public Position build() {
      return new Position(term, index);
    }
  }
}
