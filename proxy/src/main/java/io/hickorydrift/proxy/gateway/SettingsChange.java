package io.hickorydrift.proxy.gateway;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * The keys that differ between two versions of an instance's settings.
 *
 * <p>Thread safety: immutable.
 *
 * @param applied keys whose new values a running instance applies
 * @param restartNeeded keys whose new values apply after a restart
 */
record SettingsChange(List<String> applied, List<String> restartNeeded) {
  private static final Map<String, Function<GatewaySettings, Object>> APPLIED =
      new LinkedHashMap<>();
  private static final Map<String, Function<GatewaySettings, Object>> RESTART_NEEDED =
      new LinkedHashMap<>();

  static {
    APPLIED.put("platform.store", GatewaySettings::storeAddress);
    APPLIED.put("platform.promotion", GatewaySettings::promotionAddress);
    APPLIED.put("bounds.key_validity_ms", GatewaySettings::keyValidityMs);
    APPLIED.put("stop.grace_ms", GatewaySettings::stopGraceMs);
    APPLIED.put("capacity.cores", GatewaySettings::cores);
    APPLIED.put("capacity.link_mbps", GatewaySettings::linkMbps);
    APPLIED.put("capacity.descriptors", GatewaySettings::descriptors);
    APPLIED.put("commits.acknowledged_by", GatewaySettings::acknowledgement);
    RESTART_NEEDED.put("instance.id", GatewaySettings::id);
    RESTART_NEEDED.put("instance.failure_domain", GatewaySettings::failureDomain);
    RESTART_NEEDED.put("listen.callers", GatewaySettings::callersListen);
    RESTART_NEEDED.put("listen.readiness", GatewaySettings::readinessListen);
    RESTART_NEEDED.put("listen.peers", GatewaySettings::peersListen);
    RESTART_NEEDED.put("listen.metrics", GatewaySettings::metricsListen);
  }

  /** Returns the keys whose values differ. */
  static SettingsChange between(GatewaySettings older, GatewaySettings newer) {
    return new SettingsChange(
        differing(APPLIED, older, newer), differing(RESTART_NEEDED, older, newer));
  }

  private static List<String> differing(
      Map<String, Function<GatewaySettings, Object>> settings,
      GatewaySettings older,
      GatewaySettings newer) {
    List<String> keys = new ArrayList<>();
    settings.forEach(
        (key, value) -> {
          if (!value.apply(older).equals(value.apply(newer))) {
            keys.add(key);
          }
        });
    return keys;
  }
}
