package io.hickorydrift.core.message;

import java.util.List;

/**
 * Record of a database group in the store. Changed only by compare-and-swap.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param term term of the last published promotion
 * @param primary primary of that term
 * @param highestReserved highest term ever reserved; never decreases
 * @param reservations reserved terms that are not used yet
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
   * Builder of {@code GroupRecord}. Not thread safe.
   */
  public static final class Builder {
    private long term;

    private String primary;

    private long highestReserved;

    private List<TermReservation> reservations;

    /**
     * Sets {@code term}: term of the last published promotion.
     */
    public Builder term(long term) {
      this.term = term;
      return this;
    }

    /**
     * Sets {@code primary}: primary of that term.
     */
    public Builder primary(String primary) {
      this.primary = primary;
      return this;
    }

    /**
     * Sets {@code highestReserved}: highest term ever reserved; never decreases.
     */
    public Builder highestReserved(long highestReserved) {
      this.highestReserved = highestReserved;
      return this;
    }

    /**
     * Sets {@code reservations}: reserved terms that are not used yet.
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
