package io.hickorydrift.core.message;

import java.util.List;

/**
 * Slots of the fleet in the store. Changed only by compare-and-swap.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param slots slot leases by slot number
 */
public record SlotTable(List<SlotClaim> slots) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builder of {@code SlotTable}. Not thread safe.
   */
  public static final class Builder {
    private List<SlotClaim> slots;

    /**
     * Sets {@code slots}: slot leases by slot number.
     */
    public Builder slots(List<SlotClaim> slots) {
      this.slots = slots;
      return this;
    }

    /**
     * Returns the record.
     */
    public SlotTable build() {
      return new SlotTable(slots);
    }
  }
}
