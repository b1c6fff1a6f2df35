package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.commit.Acknowledgement;

/**
 * Settings of a gateway instance.
 *
 * <p>Thread safety: immutable.
 *
 * @param id the instance's id
 * @param failureDomain where it stands
 * @param callersListen host and port for callers
 * @param readinessListen host and port for the balancer's probe
 * @param peersListen host and port for other instances
 * @param metricsListen host and port for metrics
 * @param storeAddress host and port of the store
 * @param promotionAddress host and port for promotion orders
 * @param keyValidityMs how long after the acknowledgement of a withdrawal a key may still be used
 * @param stopGraceMs time between the signal to stop and the end of the process
 * @param cores processor cores that the instance may use
 * @param linkMbps speed of its link in megabits a second
 * @param acknowledgement who has to have a commit before its caller is told
 */
public record GatewaySettings(
    String id,
    String failureDomain,
    String callersListen,
    String readinessListen,
    String peersListen,
    String metricsListen,
    String storeAddress,
    String promotionAddress,
    long keyValidityMs,
    long stopGraceMs,
    double cores,
    long linkMbps,
    Acknowledgement acknowledgement) {
  // Below these an instance cannot carry a group's traffic twice over its link.
  private static final double HOME_CORES = 0.6;
  private static final long HOME_LINK_MBPS = 40;

  /** Returns how much of other instances' work this one can carry; 0 for none. */
  public double homeWeight() {
    return cores >= HOME_CORES && linkMbps >= HOME_LINK_MBPS ? cores : 0;
  }

  /** Returns an empty builder. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds settings. Thread safety: confined to one thread. */
  public static final class Builder {
    private String id;
    private String failureDomain;
    private String callersListen;
    private String readinessListen;
    private String peersListen;
    private String metricsListen;
    private String storeAddress;
    private String promotionAddress;
    private long keyValidityMs;
    private long stopMs;
    private double cores;
    private long linkMbps;
    private Acknowledgement acknowledgement = Acknowledgement.REPLICA;

    private Builder() {}

    /** Sets the instance's id and where it stands. */
    public Builder instance(String newId, String newFailureDomain) {
      id = newId;
      failureDomain = newFailureDomain;
      return this;
    }

    /** Sets host and port for callers. */
    public Builder callersListen(String address) {
      callersListen = address;
      return this;
    }

    /** Sets host and port for the balancer's probe. */
    public Builder readinessListen(String address) {
      readinessListen = address;
      return this;
    }

    /** Sets host and port for other instances. */
    public Builder peersListen(String address) {
      peersListen = address;
      return this;
    }

    /** Sets host and port for metrics. */
    public Builder metricsListen(String address) {
      metricsListen = address;
      return this;
    }

    /** Sets host and port of the store and of promotion orders. */
    public Builder platform(String newStoreAddress, String newPromotionAddress) {
      storeAddress = newStoreAddress;
      promotionAddress = newPromotionAddress;
      return this;
    }

    /** Sets how long after the acknowledgement of a withdrawal a key may still be used. */
    public Builder keyValidityMs(long ms) {
      keyValidityMs = ms;
      return this;
    }

    /** Sets the time between the signal to stop and the end of the process. */
    public Builder stopGraceMs(long ms) {
      stopMs = ms;
      return this;
    }

    /** Sets what the instance may use. */
    public Builder capacity(double newCores, long newLinkMbps) {
      cores = newCores;
      linkMbps = newLinkMbps;
      return this;
    }

    /** Sets who has to have a commit before its caller is told. */
    public Builder acknowledgement(Acknowledgement newAcknowledgement) {
      acknowledgement = newAcknowledgement;
      return this;
    }

    /** Returns the settings. */
    public GatewaySettings build() {
      return new GatewaySettings(
          id,
          failureDomain,
          callersListen,
          readinessListen,
          peersListen,
          metricsListen,
          storeAddress,
          promotionAddress,
          keyValidityMs,
          stopMs,
          cores,
          linkMbps,
          acknowledgement);
    }
  }
}
