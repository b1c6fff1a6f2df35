package io.hickorydrift.core.message;

import java.util.List;

/**
 * Targets that the platform lists as leaving, sent by relays to the instances of their domain.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param targets ids of the targets
 */
public record LeavingTargets(List<String> targets) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builder of {@code LeavingTargets}. Not thread safe.
   */
  public static final class Builder {
    private List<String> targets;

    /**
     * Sets {@code targets}: ids of the targets.
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
