package io.hickorydrift.proxy.settings;

import java.util.Map;

/**
 * Settings of one instance, read from its settings file.
 *
 * <p>Thread safety: immutable.
 *
 * @param id id of the instance, unique in the fleet
 * @param failureDomain failure domain of the instance
 * @param callersListen listen address for callers
 * @param operatorsListen listen address for operators and metrics
 * @param peersListen listen address for links from peers
 * @param platformAddress address of the platform
 * @param fleetSecret secret shared by all instances of the fleet
 * @param operatorCredential digest of the credential of the fleet's own team
 * @param seeds initial peers: addresses by instance
 * @param stopNoticeMs how long a stopping instance still accepts requests, in milliseconds
 * @param stopDeadlineMs how long a stopping instance waits for requests in flight after that, in
 *     milliseconds
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

  /** Returns a builder with the default settings. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builder of {@link InstanceSettings}. Not thread safe. */
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

    /** Sets the listen address for callers. */
    public Builder callersListen(String callersListen) {
      this.callersListen = callersListen;
      return this;
    }

    /** Sets the listen address for operators and metrics. */
    public Builder operatorsListen(String operatorsListen) {
      this.operatorsListen = operatorsListen;
      return this;
    }

    /** Sets the listen address for links from peers. */
    public Builder peersListen(String peersListen) {
      this.peersListen = peersListen;
      return this;
    }

    /** Sets the address of the platform. */
    public Builder platformAddress(String platformAddress) {
      this.platformAddress = platformAddress;
      return this;
    }

    /** Sets the secret shared by all instances of the fleet. */
    public Builder fleetSecret(String fleetSecret) {
      this.fleetSecret = fleetSecret;
      return this;
    }

    /** Sets the digest of the credential of the fleet's own team. */
    public Builder operatorCredential(String operatorCredential) {
      this.operatorCredential = operatorCredential;
      return this;
    }

    /** Sets the initial peers: addresses by instance. */
    public Builder seeds(Map<String, String> seeds) {
      this.seeds = Map.copyOf(seeds);
      return this;
    }

    /** Sets how long a stopping instance still accepts requests, in milliseconds. */
    public Builder stopNoticeMs(long stopNoticeMs) {
      this.stopNoticeMs = stopNoticeMs;
      return this;
    }

    /**
     * Sets how long a stopping instance waits for requests in flight after it has stopped
     * accepting, in milliseconds.
     */
    public Builder stopDeadlineMs(long stopDeadlineMs) {
      this.stopDeadlineMs = stopDeadlineMs;
      return this;
    }

    /** Builds the settings. */
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
