package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.commit.Acknowledgement;
import io.hickorydrift.core.placement.Regions;
import io.hickorydrift.proxy.settings.IniFile;
import io.hickorydrift.proxy.settings.SettingsException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SortedMap;
import java.util.regex.Pattern;

/**
 * Reads and validates the settings of a gateway; reports all errors at once.
 *
 * <p>Thread safety: confined to one thread; each reader is used once.
 */
public final class GatewaySettingsReader {
  private static final Pattern ADDRESS = Pattern.compile("[0-9.]+:[0-9]{1,5}");
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
  private static final Pattern DECIMAL_NUMBER = Pattern.compile("[0-9]{1,6}(\\.[0-9]{1,6})?");
  private static final Pattern ACKNOWLEDGED_BY = Pattern.compile("primary|replica");
  private static final Pattern WHOLE_NUMBER = Pattern.compile("[0-9]{1,9}");
  // Ports, peers and a few sessions.
  private static final long MIN_DESCRIPTORS = 64;
  // Proofs that keys are current arrive about once a second.
  private static final long MIN_KEY_VALIDITY_MS = 1_500;
  // An evacuation reaches all instances through the relays of their failure domains first.
  private static final long MIN_EVACUATION_MS = 1_000;
  // A stop without any grace would abort all requests in flight.
  private static final long MIN_GRACE_MS = 1_000;

  private final String file;
  private final SortedMap<String, Map<String, String>> sections;
  private final List<String> errors = new ArrayList<>();

  private GatewaySettingsReader(String file, SortedMap<String, Map<String, String>> sections) {
    this.file = file;
    this.sections = sections;
  }

  /**
   * Parses {@code text}; throws {@link SettingsException} if any setting is invalid.
   *
   * @param name identifies the text in error messages
   */
  public static GatewaySettings parse(String name, String text) {
    return new GatewaySettingsReader(name, IniFile.parse(name, text)).read();
  }

  private GatewaySettings read() {
    GatewaySettings settings =
        GatewaySettings.builder()
            .instance(value("instance", "id", NAME), value("instance", "failure_domain", NAME))
            .callersListen(value("listen", "callers", ADDRESS))
            .readinessListen(value("listen", "readiness", ADDRESS))
            .peersListen(value("listen", "peers", ADDRESS))
            .metricsListen(value("listen", "metrics", ADDRESS))
            .platform(value("platform", "store", ADDRESS), value("platform", "promotion", ADDRESS))
            .keyValidityMs(wholeNumber("bounds", "key_validity_ms", MIN_KEY_VALIDITY_MS))
            .stopGraceMs(wholeNumber("stop", "grace_ms", MIN_GRACE_MS))
            .capacity(
                decimalNumber("capacity", "core_share") * decimalNumber("capacity", "cores"),
                (long) decimalNumber("capacity", "link_mbps"))
            .descriptors(descriptors())
            .acknowledgement(acknowledgement())
            .regions(regions())
            .evacuationMs(evacuationMs())
            .build();
    if (!errors.isEmpty()) {
      throw new SettingsException(errors);
    }
    return settings;
  }

  private long descriptors() {
    return sections.getOrDefault("capacity", Map.of()).containsKey("descriptors")
        ? wholeNumber("capacity", "descriptors", MIN_DESCRIPTORS)
        : GatewaySettings.UNLIMITED;
  }

  private Regions regions() {
    Map<String, String> regionByDomain = new HashMap<>();
    for (String domain : sections.getOrDefault("regions", Map.of()).keySet()) {
      regionByDomain.put(domain, value("regions", domain, NAME));
    }
    return new Regions(regionByDomain);
  }

  private long evacuationMs() {
    return sections.getOrDefault("bounds", Map.of()).containsKey("evacuation_ms")
        ? wholeNumber("bounds", "evacuation_ms", MIN_EVACUATION_MS)
        : GatewaySettings.DEFAULT_EVACUATION_MS;
  }

  private Acknowledgement acknowledgement() {
    if (!sections.getOrDefault("commits", Map.of()).containsKey("acknowledged_by")) {
      return Acknowledgement.REPLICA;
    }
    String value = value("commits", "acknowledged_by", ACKNOWLEDGED_BY);
    return value.isEmpty()
        ? Acknowledgement.REPLICA
        : Acknowledgement.valueOf(value.toUpperCase(Locale.ROOT));
  }

  private String value(String section, String key, Pattern pattern) {
    String value = sections.getOrDefault(section, Map.of()).get(key);
    if (value == null || !pattern.matcher(value).matches()) {
      errors.add(
          file + ": section [" + section + "] key " + key + ": expected " + pattern.pattern());
      return "";
    }
    return value;
  }

  private double decimalNumber(String section, String key) {
    String value = value(section, key, DECIMAL_NUMBER);
    return value.isEmpty() ? 0 : Double.parseDouble(value);
  }

  private long wholeNumber(String section, String key, long minimum) {
    String value = value(section, key, WHOLE_NUMBER);
    if (value.isEmpty()) {
      return minimum;
    }
    long number = Long.parseLong(value);
    if (number < minimum) {
      errors.add(file + ": section [" + section + "] key " + key + ": below " + minimum);
    }
    return number;
  }
}
