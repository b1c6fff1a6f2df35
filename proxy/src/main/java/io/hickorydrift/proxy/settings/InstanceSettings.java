package io.hickorydrift.proxy.settings;

import java.util.Map;

/**
 * Settings of one instance, from its own file.
 *
 * <p>Thread safety: immutable.
 *
 * @param id id of the instance, unique in the fleet
 * @param failureDomain its failure domain
 * @param callersListen address for callers
 * @param operatorsListen address for operators and metrics
 * @param peersListen address for links from peers
 * @param platformAddress address of the platform
 * @param fleetSecret secret that all instances share
 * @param operatorCredential digest of the credential of the fleet's own team
 * @param seeds peers to begin with: addresses by instance
 * @param stopNoticeMs how long a stopping instance still accepts, in milliseconds
 * @param stopDeadlineMs when a stopping instance ends what still runs, in milliseconds
 */
public record InstanceSettings(
    String id,
    String failureDomain,
    String callersListen,
    String operatorsListen,
    String peersListen,
    String platformAddress,
    String fleetSecret,
    String operatorCredential,
    Map<String, String> seeds,
    long stopNoticeMs,
    long stopDeadlineMs) {

  /** Starts from the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds settings. Not thread safe. */
  public static final class Builder {
    private String id;
    private String failureDomain;
    private String callersListen = "127.0.0.1:0";
    private String operatorsListen = "127.0.0.1:0";
    private String peersListen = "127.0.0.1:0";
    private String platformAddress;
    private String fleetSecret;
    private String operatorCredential;
    private Map<String, String> seeds = Map.of();
    private long stopNoticeMs = 2_000;
    private long stopDeadlineMs = 30_000;

    /** Sets the id of the instance. */
    public Builder id(String id) {
      this.id = id;
      return this;
    }

    /** Sets the failure domain. */
    public Builder failureDomain(String failureDomain) {
      this.failureDomain = failureDomain;
      return this;
    }

    /** Sets the address for callers. */
    public Builder callersListen(String callersListen) {
      this.callersListen = callersListen;
      return this;
    }

    /** Sets the address for operators. */
    public Builder operatorsListen(String operatorsListen) {
      this.operatorsListen = operatorsListen;
      return this;
    }

    /** Sets the address for links from peers. */
    public Builder peersListen(String peersListen) {
      this.peersListen = peersListen;
      return this;
    }

    /** Sets the address of the platform. */
    public Builder platformAddress(String platformAddress) {
      this.platformAddress = platformAddress;
      return this;
    }

    /** Sets the fleet's secret. */
    public Builder fleetSecret(String fleetSecret) {
      this.fleetSecret = fleetSecret;
      return this;
    }

    /** Sets the digest of the fleet team's credential. */
    public Builder operatorCredential(String operatorCredential) {
      this.operatorCredential = operatorCredential;
      return this;
    }

    /** Sets the peers to begin with. */
    public Builder seeds(Map<String, String> seeds) {
      this.seeds = Map.copyOf(seeds);
      return this;
    }

    /** Sets how long a stopping instance still accepts, in milliseconds. */
    public Builder stopNoticeMs(long stopNoticeMs) {
      this.stopNoticeMs = stopNoticeMs;
      return this;
    }

    /** Sets when a stopping instance ends what still runs, in milliseconds. */
    public Builder stopDeadlineMs(long stopDeadlineMs) {
      this.stopDeadlineMs = stopDeadlineMs;
      return this;
    }

    /** Returns the settings. */
    public InstanceSettings build() {
      return new InstanceSettings(
          id,
          failureDomain,
          callersListen,
          operatorsListen,
          peersListen,
          platformAddress,
          fleetSecret,
          operatorCredential,
          seeds,
          stopNoticeMs,
          stopDeadlineMs);
    }
  }
}
