package io.hickorydrift.core.message;

/**
 * Says that an instance is alive and what it holds.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param instance id of the sender
 * @param run id of this run of the process
 * @param failureDomain failure domain of the sender
 * @param peerAddress host and port for peer links
 * @param slot slot held, -1 for none
 * @param leaving true from the start of a graceful shutdown
 * @param configEntry last configuration entry in force at the sender
 */
public record Heartbeat(String instance, String run, String failureDomain, String peerAddress,
    long slot, boolean leaving, long configEntry) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builds a {@code Heartbeat}. Not thread safe.
   */
  public static final class Builder {
    private String instance;

    private String run;

    private String failureDomain;

    private String peerAddress;

    private long slot;

    private boolean leaving;

    private long configEntry;

    /**
     * Sets the id of the sender.
     */
    public Builder instance(String instance) {
      this.instance = instance;
      return this;
    }

    /**
     * Sets the id of this run of the process.
     */
    public Builder run(String run) {
      this.run = run;
      return this;
    }

    /**
     * Sets the failure domain of the sender.
     */
    public Builder failureDomain(String failureDomain) {
      this.failureDomain = failureDomain;
      return this;
    }

    /**
     * Sets the host and port for peer links.
     */
    public Builder peerAddress(String peerAddress) {
      this.peerAddress = peerAddress;
      return this;
    }

    /**
     * Sets the slot held, -1 for none.
     */
    public Builder slot(long slot) {
      this.slot = slot;
      return this;
    }

    /**
     * Sets the true from the start of a graceful shutdown.
     */
    public Builder leaving(boolean leaving) {
      this.leaving = leaving;
      return this;
    }

    /**
     * Sets the last configuration entry in force at the sender.
     */
    public Builder configEntry(long configEntry) {
      this.configEntry = configEntry;
      return this;
    }

    /**
     * Returns the record.
     */
    public Heartbeat build() {
      return new Heartbeat(instance, run, failureDomain, peerAddress, slot, leaving, configEntry);
    }
  }
}
