package io.hickorydrift.core.message;

/**
 * Entry of the platform's list of instances and targets. The list lags behind their actual state.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param id id of the instance or target
 * @param address host and port, for peer links to an instance or for exchanges with a target
 * @param failureDomain failure domain of the instance or target
 * @param leaving true if the instance or target is about to stop
 */
public record ListedMachine(String id, String address, String failureDomain, boolean leaving) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builder of {@code ListedMachine}. Not thread safe.
   */
  public static final class Builder {
    private String id;

    private String address;

    private String failureDomain;

    private boolean leaving;

    /**
     * Sets {@code id}: id of the instance or target.
     */
    public Builder id(String id) {
      this.id = id;
      return this;
    }

    /**
     * Sets {@code address}: host and port, for peer links to an instance or for exchanges with a target.
     */
    public Builder address(String address) {
      this.address = address;
      return this;
    }

    /**
     * Sets {@code failureDomain}: failure domain of the instance or target.
     */
    public Builder failureDomain(String failureDomain) {
      this.failureDomain = failureDomain;
      return this;
    }

    /**
     * Sets {@code leaving}: true if the instance or target is about to stop.
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
