package io.hickorydrift.core.message;

import java.util.List;

/**
 * The live instances of one failure domain, passed between domains by relays.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param failureDomain the domain
 * @param mark changes whenever the members do
 * @param members their last heartbeats
 */
public record DomainDigest(String failureDomain, long mark, List<Heartbeat> members) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builds a {@code DomainDigest}. Not thread safe.
   */
  public static final class Builder {
    private String failureDomain;

    private long mark;

    private List<Heartbeat> members;

    /**
     * Sets the the domain.
     */
    public Builder failureDomain(String failureDomain) {
      this.failureDomain = failureDomain;
      return this;
    }

    /**
     * Sets the changes whenever the members do.
     */
    public Builder mark(long mark) {
      this.mark = mark;
      return this;
    }

    /**
     * Sets the their last heartbeats.
     */
    public Builder members(List<Heartbeat> members) {
      this.members = members;
      return this;
    }

    /**
     * Returns the record.
     */
    public DomainDigest build() {
      return new DomainDigest(failureDomain, mark, members);
    }
  }
}
