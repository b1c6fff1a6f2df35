package io.hickorydrift.core.message;

/**
 * Heartbeat of an instance with its address, slot and configuration entry.
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
   * Builder of {@code Heartbeat}. Not thread safe.
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
     * Sets {@code instance}: id of the sender.
     */
    public Builder instance(String instance) {
      this.instance = instance;
      return this;
    }

    /**
     * Sets {@code run}: id of this run of the process.
     */
    public Builder run(String run) {
      this.run = run;
      return this;
    }

    /**
     * Sets {@code failureDomain}: failure domain of the sender.
     */
    public Builder failureDomain(String failureDomain) {
      this.failureDomain = failureDomain;
      return this;
    }

    /**
     * Sets {@code peerAddress}: host and port for peer links.
     */
    public Builder peerAddress(String peerAddress) {
      this.peerAddress = peerAddress;
      return this;
    }

    /**
     * Sets {@code slot}: slot held, -1 for none.
     */
    public Builder slot(long slot) {
      this.slot = slot;
      return this;
    }

    /**
     * Sets {@code leaving}: true from the start of a graceful shutdown.
     */
    public Builder leaving(boolean leaving) {
      this.leaving = leaving;
      return this;
    }

    /**
     * Sets {@code configEntry}: last configuration entry in force at the sender.
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
