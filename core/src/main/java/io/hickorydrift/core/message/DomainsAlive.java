package io.hickorydrift.core.message;

import java.util.List;

/**
 * Confirms that digests sent earlier are still valid.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param marks marks of the confirmed digests
 */
public record DomainsAlive(List<DigestMark> marks) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builder of {@code DomainsAlive}. Not thread safe.
   */
  public static final class Builder {
    private List<DigestMark> marks;

    /**
     * Sets {@code marks}: marks of the confirmed digests.
     */
    public Builder marks(List<DigestMark> marks) {
      this.marks = marks;
      return this;
    }

    /**
     * Returns the record.
     */
    public DomainsAlive build() {
      return new DomainsAlive(marks);
    }
  }
}
