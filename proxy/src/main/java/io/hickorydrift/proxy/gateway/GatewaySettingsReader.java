package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.commit.Acknowledgement;
import io.hickorydrift.proxy.settings.IniFile;
import io.hickorydrift.proxy.settings.SettingsException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SortedMap;
import java.util.regex.Pattern;

/**
 * Reads a gateway's settings and tells everything that is wrong in them at once.
 *
 * <p>Thread safety: confined to one thread; one use each.
 */
public final class GatewaySettingsReader {
  private static final Pattern ADDRESS = Pattern.compile("[0-9.]+:[0-9]{1,5}");
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
  private static final Pattern FRACTION = Pattern.compile("[0-9]{1,6}(\\.[0-9]{1,6})?");
  private static final Pattern ACKNOWLEDGED_BY = Pattern.compile("primary|replica");
  private static final Pattern WHOLE = Pattern.compile("[0-9]{1,9}");

  private final String file;
  private final SortedMap<String, Map<String, String>> sections;
  private final List<String> problems = new ArrayList<>();

  private GatewaySettingsReader(String file, SortedMap<String, Map<String, String>> sections) {
    this.file = file;
    this.sections = sections;
  }

  /** Reads {@code file}; throws {@link SettingsException} if any setting is wrong. */
  public static GatewaySettings read(Path file) {
    return new GatewaySettingsReader(file.toString(), IniFile.read(file)).read();
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
            .keyValidityMs(whole("bounds", "key_validity_ms"))
            .stopGraceMs(whole("stop", "grace_ms"))
            .capacity(
                fraction("capacity", "core_share") * fraction("capacity", "cores"),
                (long) fraction("capacity", "link_mbps"))
            .acknowledgement(acknowledgement())
            .build();
    if (!problems.isEmpty()) {
      throw new SettingsException(problems);
    }
    return settings;
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
      problems.add(
          file + ": section [" + section + "] key " + key + ": expected " + pattern.pattern());
      return "";
    }
    return value;
  }

  private double fraction(String section, String key) {
    String value = value(section, key, FRACTION);
    return value.isEmpty() ? 0 : Double.parseDouble(value);
  }

  private long whole(String section, String key) {
    String value = value(section, key, WHOLE);
    return value.isEmpty() ? 0 : Long.parseLong(value);
  }
}
