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
 * @param cores processor cores that the instance may use
 * @param linkMbps speed of its link in megabits a second
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
    long stopMs,
    double cores,
    long linkMbps) {
  // Below these an instance cannot carry a group's traffic twice over its link.
  private static final double HOME_CORES = 0.6;
  private static final long HOME_LINK_MBPS = 40;

  /** Returns how much of other instances' work this one can carry; 0 for none. */
  public double homeWeight() {
    return cores >= HOME_CORES && linkMbps >= HOME_LINK_MBPS ? cores : 0;
  }
}
