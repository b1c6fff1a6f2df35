package io.hickorydrift.proxy.gateway;

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
 * @param stopMs time between the signal to stop and the end of the process
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
    long stopMs) {}
