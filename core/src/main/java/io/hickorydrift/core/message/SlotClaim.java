package io.hickorydrift.core.message;

/**
 * Who holds a slot, and how often the claim was renewed.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param holder run id of the holder, null when released
 * @param epoch rises with each change of holder
 * @param beat rises with each renewal
 * @param longFreeEpoch epoch up to which the long part is known to be free: released or waited out
 */
public record SlotClaim(String holder, long epoch, long beat, long longFreeEpoch) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builds a {@code SlotClaim}. Not thread safe.
   */
  public static final class Builder {
    private String holder;

    private long epoch;

    private long beat;

    private long longFreeEpoch;

    /**
     * Sets the run id of the holder, null when released.
     */
    public Builder holder(String holder) {
      this.holder = holder;
      return this;
    }

    /**
     * Sets the rises with each change of holder.
     */
    public Builder epoch(long epoch) {
      this.epoch = epoch;
      return this;
    }

    /**
     * Sets the rises with each renewal.
     */
    public Builder beat(long beat) {
      this.beat = beat;
      return this;
    }

    /**
     * Sets the epoch up to which the long part is known to be free: released or waited out.
     */
    public Builder longFreeEpoch(long longFreeEpoch) {
      this.longFreeEpoch = longFreeEpoch;
      return this;
    }

    /**
     * Returns the record.
     */
    public SlotClaim build() {
      return new SlotClaim(holder, epoch, beat, longFreeEpoch);
    }
  }
}
