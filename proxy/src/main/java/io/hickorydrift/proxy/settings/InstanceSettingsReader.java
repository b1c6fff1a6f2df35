package io.hickorydrift.proxy.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.regex.Pattern;

/**
 * Reads and validates an instance's settings file, and reports all its problems at once.
 *
 * <p>Thread safety: confined to one thread; each reader is used once.
 */
public final class InstanceSettingsReader {
  private static final Pattern ADDRESS = Pattern.compile("[0-9A-Fa-f.:\\[\\]]+:[0-9]{1,5}");
  private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");
  private static final Pattern SHA256_DIGEST = Pattern.compile("sha256:[0-9a-f]{64}");
  private static final int MIN_SECRET_CHARS = 16;
  private static final long MAX_STOP_MS = 600_000;

  private final String file;
  private final SortedMap<String, Map<String, String>> sections;
  private final List<String> problems = new ArrayList<>();
  private final Map<String, Set<String>> knownKeys = new HashMap<>();

  private InstanceSettingsReader(String file, SortedMap<String, Map<String, String>> sections) {
    this.file = file;
    this.sections = sections;
  }

  /** Reads the settings in {@code file}; throws {@link SettingsException} if any is invalid. */
  public static InstanceSettings read(Path file) {
    return new InstanceSettingsReader(file.toString(), IniFile.read(file)).read();
  }

  private InstanceSettings read() {
    InstanceSettings.Builder settings =
        InstanceSettings.builder()
            .id(requireMatch("instance", "id", NAME, "an id like " + NAME.pattern()))
            .failureDomain(
                requireMatch("instance", "failure_domain", NAME, "a name like " + NAME.pattern()))
            .callersListen(readAddress("listen", "callers"))
            .operatorsListen(readAddress("listen", "operators"))
            .peersListen(readAddress("listen", "peers"))
            .platformAddress(readAddress("platform", "address"))
            .fleetSecret(readSecret())
            .operatorCredential(
                requireMatch(
                    "fleet",
                    "operator_credential",
                    SHA256_DIGEST,
                    "sha256: and 64 hexadecimal digits; create one with: hickorydrift keys"))
            .seeds(readSeeds())
            .stopNoticeMs(readMilliseconds("stop", "notice_ms", 2_000))
            .stopDeadlineMs(readMilliseconds("stop", "deadline_ms", 30_000));
    reportUnknownKeys();
    if (!problems.isEmpty()) {
      throw new SettingsException(problems);
    }
    return settings.build();
  }

  private String optionalValue(String section, String key) {
    knownKeys.computeIfAbsent(section, name -> new HashSet<>()).add(key);
    return sections.getOrDefault(section, Map.of()).get(key);
  }

  private String requireMatch(String section, String key, Pattern pattern, String expected) {
    String value = optionalValue(section, key);
    if (value == null || !pattern.matcher(value).matches()) {
      addProblem(section, key, value == null ? "missing; expected " + expected : expected);
      return "";
    }
    return value;
  }

  private String readAddress(String section, String key) {
    String address = requireMatch(section, key, ADDRESS, "an IP address and a port");
    if (!address.isEmpty()) {
      int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
      if (port > 65_535) {
        addProblem(section, key, "a port up to 65535");
      }
    }
    return address;
  }

  private String readSecret() {
    String path = optionalValue("fleet", "secret_file");
    if (path == null) {
      addProblem("fleet", "secret_file", "missing; expected the path of the fleet's secret");
      return "";
    }
    try {
      String secret = Files.readString(Path.of(path)).trim();
      if (secret.length() < MIN_SECRET_CHARS) {
        addProblem(
            "fleet", "secret_file", "a secret of " + MIN_SECRET_CHARS + " or more characters");
      }
      return secret;
    } catch (IOException e) {
      addProblem("fleet", "secret_file", "a readable file");
      return "";
    }
  }

  private Map<String, String> readSeeds() {
    Map<String, String> seeds = new HashMap<>();
    String text = optionalValue("peers", "seeds");
    if (text == null || text.isBlank()) {
      return seeds;
    }
    for (String seed : text.split(",")) {
      String[] parts = seed.trim().split("@", 2);
      if (parts.length < 2 || !ADDRESS.matcher(parts[1]).matches()) {
        addProblem("peers", "seeds", "a list like a-1@10.0.0.1:7003, a-2@10.0.0.2:7003");
        return seeds;
      }
      seeds.put(parts[0], parts[1]);
    }
    return seeds;
  }

  private long readMilliseconds(String section, String key, long defaultMs) {
    String value = optionalValue(section, key);
    if (value == null) {
      return defaultMs;
    }
    if (value.matches("[0-9]{1,9}") && Long.parseLong(value) <= MAX_STOP_MS) {
      return Long.parseLong(value);
    }
    addProblem(section, key, "a whole number of milliseconds up to " + MAX_STOP_MS);
    return defaultMs;
  }

  private void reportUnknownKeys() {
    sections.forEach(
        (section, values) -> {
          Set<String> keys = knownKeys.get(section);
          if (keys == null) {
            problems.add(
                file
                    + ": section ["
                    + section
                    + "]: unknown; expected one of "
                    + knownKeys.keySet().stream().sorted().toList());
            return;
          }
          for (String key : values.keySet()) {
            if (!keys.contains(key)) {
              addProblem(
                  section, key, "unknown key; expected one of " + keys.stream().sorted().toList());
            }
          }
        });
  }

  private void addProblem(String section, String key, String expected) {
    problems.add(file + ": section [" + section + "] key " + key + ": expected " + expected);
  }
}
