package io.hickorydrift.core.message;

/**
 * Holder of a slot and renewal count of its lease.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param holder run id of the holder, null when released
 * @param epoch increases with each change of holder
 * @param beat increases with each renewal
 * @param longFreeEpoch epoch up to which the long lease is free, because it was released or its expiry was awaited
 */
public record SlotClaim(String holder, long epoch, long beat, long longFreeEpoch) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builder of {@code SlotClaim}. Not thread safe.
   */
  public static final class Builder {
    private String holder;

    private long epoch;

    private long beat;

    private long longFreeEpoch;

    /**
     * Sets {@code holder}: run id of the holder, null when released.
     */
    public Builder holder(String holder) {
      this.holder = holder;
      return this;
    }

    /**
     * Sets {@code epoch}: increases with each change of holder.
     */
    public Builder epoch(long epoch) {
      this.epoch = epoch;
      return this;
    }

    /**
     * Sets {@code beat}: increases with each renewal.
     */
    public Builder beat(long beat) {
      this.beat = beat;
      return this;
    }

    /**
     * Sets {@code longFreeEpoch}: epoch up to which the long lease is free, because it was released or its expiry was awaited.
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
