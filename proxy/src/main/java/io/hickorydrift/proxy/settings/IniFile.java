package io.hickorydrift.proxy.settings;

import java.io.IOException;
import java.io.Reader;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.ini4j.Config;
import org.ini4j.Ini;
import org.ini4j.Profile;

/**
 * Reads and writes sections of keys and values in INI. A section or key that stands twice is a
 * problem, not a merge.
 *
 * <p>Thread safety: stateless.
 */
public final class IniFile {
  /** Largest file read, in characters. */
  public static final int MAX_CHARS = 1_000_000;

  private IniFile() {}

  /** Reads a file. */
  public static SortedMap<String, Map<String, String>> read(Path file) {
    try {
      return parse(file.toString(), Files.readString(file));
    } catch (IOException e) {
      throw new SettingsException(List.of(file + ": cannot be read: " + e.getMessage()));
    }
  }

  /** Reads {@code text}; {@code name} stands in messages. */
  public static SortedMap<String, Map<String, String>> parse(String name, String text) {
    if (text.length() > MAX_CHARS) {
      throw new SettingsException(List.of(name + ": longer than " + MAX_CHARS + " characters"));
    }
    Ini ini = new Ini();
    ini.setConfig(config());
    try (Reader reader = new StringReader(text)) {
      ini.load(reader);
    } catch (IOException | RuntimeException e) {
      throw new SettingsException(List.of(name + ": not INI: " + e.getMessage()));
    }
    List<String> problems = new ArrayList<>();
    SortedMap<String, Map<String, String>> sections = new TreeMap<>();
    for (String section : ini.keySet()) {
      if (ini.getAll(section).size() > 1) {
        problems.add(name + ": section [" + section + "] stands twice");
      }
      sections.put(section, values(name, ini.get(section), problems));
    }
    if (!problems.isEmpty()) {
      throw new SettingsException(problems);
    }
    return sections;
  }

  /** Returns sections as text. */
  public static String format(SortedMap<String, Map<String, String>> sections) {
    StringBuilder text = new StringBuilder();
    sections.forEach(
        (section, values) -> {
          text.append('[').append(section).append("]\n");
          new TreeMap<>(values)
              .forEach((key, value) -> text.append(key).append(" = ").append(value).append('\n'));
          text.append('\n');
        });
    return text.toString();
  }

  private static Map<String, String> values(
      String name, Profile.Section section, List<String> problems) {
    Map<String, String> values = new HashMap<>();
    for (String key : section.keySet()) {
      if (section.getAll(key).size() > 1) {
        problems.add(name + ": section [" + section.getName() + "] key " + key + " stands twice");
      }
      String value = section.get(key);
      values.put(key, value == null ? "" : value);
    }
    return values;
  }

  private static Config config() {
    Config config = new Config();
    config.setMultiSection(true);
    config.setMultiOption(true);
    config.setEscape(false);
    config.setInclude(false);
    config.setTree(false);
    config.setEmptySection(true);
    return config;
  }
}
