package io.hickorydrift.core.message;

/**
 * Entry of the platform's lagging list of instances and targets.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param id id of the instance or target
 * @param address host and port: peer links for an instance, exchanges for a target
 * @param failureDomain its failure domain
 * @param leaving true if it is about to stop
 */
public record ListedMachine(String id, String address, String failureDomain, boolean leaving) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builds a {@code ListedMachine}. Not thread safe.
   */
  public static final class Builder {
    private String id;

    private String address;

    private String failureDomain;

    private boolean leaving;

    /**
     * Sets the id of the instance or target.
     */
    public Builder id(String id) {
      this.id = id;
      return this;
    }

    /**
     * Sets the host and port: peer links for an instance, exchanges for a target.
     */
    public Builder address(String address) {
      this.address = address;
      return this;
    }

    /**
     * Sets the its failure domain.
     */
    public Builder failureDomain(String failureDomain) {
      this.failureDomain = failureDomain;
      return this;
    }

    /**
     * Sets the true if it is about to stop.
     */
    public Builder leaving(boolean leaving) {
      this.leaving = leaving;
      return this;
    }

    /**
     * Returns the record.
     */
    public ListedMachine build() {
      return new ListedMachine(id, address, failureDomain, leaving);
    }
  }
}
