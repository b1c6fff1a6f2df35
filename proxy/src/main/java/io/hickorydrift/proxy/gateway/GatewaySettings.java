package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.commit.Acknowledgement;
import io.hickorydrift.core.placement.Regions;

/**
 * Settings of a gateway instance.
 *
 * <p>Thread safety: immutable.
 *
 * @param id the instance's id
 * @param failureDomain the failure domain of the instance
 * @param callersListen host and port on which callers connect
 * @param readinessListen host and port of the load balancer's readiness probe
 * @param peersListen host and port on which peers connect
 * @param metricsListen host and port of the metrics endpoint
 * @param storeAddress host and port of the platform's key-value store
 * @param promotionAddress host and port to which promotion requests are sent
 * @param keyValidityMs how long a key may still be accepted after its withdrawal was acknowledged
 * @param stopGraceMs time from the stop signal to the end of the process
 * @param cores number of processor cores that the instance may use
 * @param linkMbps speed of its network link in megabits per second
 * @param descriptors number of descriptors that the process may open
 * @param acknowledgement which targets need to have a commit before it is acknowledged to the
 *     caller
 * @param regions the region of each failure domain
 * @param evacuationMs time from the acknowledgement of an evacuation until nothing more is sent to
 *     the targets of its failure domain
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
    long descriptors,
    Acknowledgement acknowledgement,
    Regions regions,
    long evacuationMs) {
  /** Number of descriptors if it is not limited. */
  public static final long UNLIMITED = Long.MAX_VALUE;

  /** Time in which an evacuation takes effect if the settings do not state it. */
  public static final long DEFAULT_EVACUATION_MS = 5_000;

  // A home carries a group's traffic over its link twice, which an instance with less than this
  // cannot do.
  private static final double MIN_HOME_CORES = 0.6;
  private static final long MIN_HOME_LINK_MBPS = 40;

  /**
   * Returns the capacity of this instance to run its peers' statements as a home; 0 if it cannot be
   * a home.
   */
  public double homeWeight() {
    return cores >= MIN_HOME_CORES && linkMbps >= MIN_HOME_LINK_MBPS ? cores : 0;
  }

  /**
   * Returns the maximum number of callers' connections. They leave a quarter of the descriptors to
   * targets, peers, probes and files, without which no session could be served.
   */
  long maxSessions() {
    return descriptors - descriptors / 4;
  }

  /** Returns the entry with which this instance registers in the fleet. */
  FleetEntry fleetEntry() {
    return new FleetEntry(peersListen, homeWeight(), failureDomain);
  }

  /**
   * Returns these settings with those of {@code newer} that a running instance can apply; identity
   * and listen addresses stay.
   */
  GatewaySettings withApplicable(GatewaySettings newer) {
    return new GatewaySettings(
        id,
        failureDomain,
        callersListen,
        readinessListen,
        peersListen,
        metricsListen,
        newer.storeAddress,
        newer.promotionAddress,
        newer.keyValidityMs,
        newer.stopGraceMs,
        newer.cores,
        newer.linkMbps,
        newer.descriptors,
        newer.acknowledgement,
        regions,
        newer.evacuationMs);
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
    private long stopGraceMs;
    private double cores;
    private long linkMbps;
    private long descriptors = UNLIMITED;
    private Acknowledgement acknowledgement = Acknowledgement.REPLICA;
    private Regions regions = Regions.NONE;
    private long evacuationMs = DEFAULT_EVACUATION_MS;

    private Builder() {}

    /** Sets the id and the failure domain of the instance. */
    public Builder instance(String newId, String newFailureDomain) {
      id = newId;
      failureDomain = newFailureDomain;
      return this;
    }

    /** Sets the host and port on which callers connect. */
    public Builder callersListen(String address) {
      callersListen = address;
      return this;
    }

    /** Sets the host and port of the load balancer's readiness probe. */
    public Builder readinessListen(String address) {
      readinessListen = address;
      return this;
    }

    /** Sets the host and port on which peers connect. */
    public Builder peersListen(String address) {
      peersListen = address;
      return this;
    }

    /** Sets the host and port of the metrics endpoint. */
    public Builder metricsListen(String address) {
      metricsListen = address;
      return this;
    }

    /** Sets the host and port of the key-value store and of the receiver of promotion requests. */
    public Builder platform(String newStoreAddress, String newPromotionAddress) {
      storeAddress = newStoreAddress;
      promotionAddress = newPromotionAddress;
      return this;
    }

    /** Sets how long a key may still be accepted after its withdrawal was acknowledged. */
    public Builder keyValidityMs(long ms) {
      keyValidityMs = ms;
      return this;
    }

    /** Sets the time from the stop signal to the end of the process. */
    public Builder stopGraceMs(long ms) {
      stopGraceMs = ms;
      return this;
    }

    /** Sets the processor cores and the link speed that the instance may use. */
    public Builder capacity(double newCores, long newLinkMbps) {
      cores = newCores;
      linkMbps = newLinkMbps;
      return this;
    }

    /** Sets the number of descriptors that the process may open. */
    public Builder descriptors(long newDescriptors) {
      descriptors = newDescriptors;
      return this;
    }

    /** Sets which targets need to have a commit before it is acknowledged to the caller. */
    public Builder acknowledgement(Acknowledgement newAcknowledgement) {
      acknowledgement = newAcknowledgement;
      return this;
    }

    /** Sets the region of each failure domain. */
    public Builder regions(Regions newRegions) {
      regions = newRegions;
      return this;
    }

    /** Sets the time in which an evacuation takes effect. */
    public Builder evacuationMs(long ms) {
      evacuationMs = ms;
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
          stopGraceMs,
          cores,
          linkMbps,
          descriptors,
          acknowledgement,
          regions,
          evacuationMs);
    }
  }
}
