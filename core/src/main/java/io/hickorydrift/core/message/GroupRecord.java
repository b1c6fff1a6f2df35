package io.hickorydrift.core.message;

import java.util.List;

/**
 * Record of a database group in the store, changed by compare-and-swap only.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param term term of the last published promotion
 * @param primary its primary
 * @param highestReserved highest term ever given out; never falls
 * @param reservations terms given out and not yet used
 */
public record GroupRecord(long term, String primary, long highestReserved,
    List<TermReservation> reservations) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builds a {@code GroupRecord}. Not thread safe.
   */
  public static final class Builder {
    private long term;

    private String primary;

    private long highestReserved;

    private List<TermReservation> reservations;

    /**
     * Sets the term of the last published promotion.
     */
    public Builder term(long term) {
      this.term = term;
      return this;
    }

    /**
     * Sets the its primary.
     */
    public Builder primary(String primary) {
      this.primary = primary;
      return this;
    }

    /**
     * Sets the highest term ever given out; never falls.
     */
    public Builder highestReserved(long highestReserved) {
      this.highestReserved = highestReserved;
      return this;
    }

    /**
     * Sets the terms given out and not yet used.
     */
    public Builder reservations(List<TermReservation> reservations) {
      this.reservations = reservations;
      return this;
    }

    /**
     * Returns the record.
     */
    public GroupRecord build() {
      return new GroupRecord(term, primary, highestReserved, reservations);
    }
  }
}
