package io.hickorydrift.core.message;

import java.util.List;

/**
 * Targets that the platform lists as leaving, passed by relays to their domain.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param targets their ids
 */
public record LeavingTargets(List<String> targets) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builds a {@code LeavingTargets}. Not thread safe.
   */
  public static final class Builder {
    private List<String> targets;

    /**
     * Sets the their ids.
     */
    public Builder targets(List<String> targets) {
      this.targets = targets;
      return this;
    }

    /**
     * Returns the record.
     */
    public LeavingTargets build() {
      return new LeavingTargets(targets);
    }
  }
}
