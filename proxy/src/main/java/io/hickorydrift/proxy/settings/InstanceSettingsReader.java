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
 * Reads an instance's file and tells everything that is wrong in it at once.
 *
 * <p>Thread safety: confined to one thread; one use each.
 */
public final class InstanceSettingsReader {
  private static final Pattern ADDRESS = Pattern.compile("[0-9A-Fa-f.:\\[\\]]+:[0-9]{1,5}");
  private static final Pattern ID = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");
  private static final Pattern DIGEST = Pattern.compile("sha256:[0-9a-f]{64}");
  private static final int MIN_SECRET_CHARS = 16;
  private static final long MAX_STOP_MS = 600_000;

  private final String file;
  private final SortedMap<String, Map<String, String>> sections;
  private final List<String> problems = new ArrayList<>();
  private final Map<String, Set<String>> known = new HashMap<>();

  private InstanceSettingsReader(String file, SortedMap<String, Map<String, String>> sections) {
    this.file = file;
    this.sections = sections;
  }

  /** Reads the settings in {@code file}; throws {@link SettingsException} if any is wrong. */
  public static InstanceSettings read(Path file) {
    return new InstanceSettingsReader(file.toString(), IniFile.read(file)).read();
  }

  private InstanceSettings read() {
    InstanceSettings.Builder settings =
        InstanceSettings.builder()
            .id(matching("instance", "id", ID, "an id like " + ID.pattern()))
            .failureDomain(
                matching("instance", "failure_domain", ID, "a name like " + ID.pattern()))
            .callersListen(address("listen", "callers"))
            .operatorsListen(address("listen", "operators"))
            .peersListen(address("listen", "peers"))
            .platformAddress(address("platform", "address"))
            .fleetSecret(secret())
            .operatorCredential(
                matching(
                    "fleet",
                    "operator_credential",
                    DIGEST,
                    "sha256: and 64 hexadecimal digits; make one with: hickorydrift keys"))
            .seeds(seeds())
            .stopNoticeMs(whole("stop", "notice_ms", 2_000))
            .stopDeadlineMs(whole("stop", "deadline_ms", 30_000));
    findUnknown();
    if (!problems.isEmpty()) {
      throw new SettingsException(problems);
    }
    return settings.build();
  }

  private String optional(String section, String key) {
    known.computeIfAbsent(section, name -> new HashSet<>()).add(key);
    return sections.getOrDefault(section, Map.of()).get(key);
  }

  private String matching(String section, String key, Pattern pattern, String expected) {
    String value = optional(section, key);
    if (value == null || !pattern.matcher(value).matches()) {
      problem(section, key, value == null ? "missing; expected " + expected : expected);
      return "";
    }
    return value;
  }

  private String address(String section, String key) {
    String address = matching(section, key, ADDRESS, "an IP number and a port");
    if (!address.isEmpty()) {
      int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
      if (port > 65_535) {
        problem(section, key, "a port up to 65535");
      }
    }
    return address;
  }

  private String secret() {
    String path = optional("fleet", "secret_file");
    if (path == null) {
      problem("fleet", "secret_file", "missing; expected the path of the fleet's secret");
      return "";
    }
    try {
      String secret = Files.readString(Path.of(path)).trim();
      if (secret.length() < MIN_SECRET_CHARS) {
        problem("fleet", "secret_file", "a secret of " + MIN_SECRET_CHARS + " or more characters");
      }
      return secret;
    } catch (IOException e) {
      problem("fleet", "secret_file", "a readable file");
      return "";
    }
  }

  private Map<String, String> seeds() {
    Map<String, String> seeds = new HashMap<>();
    String text = optional("peers", "seeds");
    if (text == null || text.isBlank()) {
      return seeds;
    }
    for (String seed : text.split(",")) {
      String[] parts = seed.trim().split("@", 2);
      if (parts.length < 2 || !ADDRESS.matcher(parts[1]).matches()) {
        problem("peers", "seeds", "a list like a-1@10.0.0.1:7003, a-2@10.0.0.2:7003");
        return seeds;
      }
      seeds.put(parts[0], parts[1]);
    }
    return seeds;
  }

  private long whole(String section, String key, long otherwise) {
    String value = optional(section, key);
    if (value == null) {
      return otherwise;
    }
    if (value.matches("[0-9]{1,9}") && Long.parseLong(value) <= MAX_STOP_MS) {
      return Long.parseLong(value);
    }
    problem(section, key, "a whole number of milliseconds up to " + MAX_STOP_MS);
    return otherwise;
  }

  private void findUnknown() {
    sections.forEach(
        (section, values) -> {
          Set<String> keys = known.get(section);
          if (keys == null) {
            problems.add(
                file
                    + ": section ["
                    + section
                    + "]: unknown; expected one of "
                    + known.keySet().stream().sorted().toList());
            return;
          }
          for (String key : values.keySet()) {
            if (!keys.contains(key)) {
              problem(
                  section, key, "unknown key; expected one of " + keys.stream().sorted().toList());
            }
          }
        });
  }

  private void problem(String section, String key, String expected) {
    problems.add(file + ": section [" + section + "] key " + key + ": expected " + expected);
  }
}
