package io.hickorydrift.core.config;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reads the typed values of one section and collects its validation problems.
 *
 * <p>Thread safety: confined to one thread.
 */
final class SectionReader {
  private final String team;
  private final String section;
  private final Map<String, String> values;
  private final List<SettingsProblem> problems;
  private final Set<String> knownKeys = new HashSet<>();

  SectionReader(
      String team, String section, Map<String, String> values, List<SettingsProblem> problems) {
    this.team = team;
    this.section = section;
    this.values = values;
    this.problems = problems;
  }

  String requireText(String key) {
    String value = optionalText(key);
    if (value == null || value.isBlank()) {
      addProblem(key, "a value is missing");
      return "";
    }
    return value;
  }

  String optionalText(String key) {
    knownKeys.add(key);
    String value = values.get(key);
    return value == null ? null : value.trim();
  }

  long integer(String key, long min, long max, Long defaultValue) {
    String value = optionalText(key);
    if (value == null && defaultValue != null) {
      return defaultValue;
    }
    try {
      long number = Long.parseLong(String.valueOf(value));
      if (number >= min && number <= max) {
        return number;
      }
    } catch (NumberFormatException e) {
      // Reported below, as for a number out of range.
    }
    addProblem(key, "expected a whole number from " + min + " to " + max);
    return min;
  }

  <E extends Enum<E>> E enumConstant(String key, Class<E> type) {
    String value = requireText(key);
    for (E constant : type.getEnumConstants()) {
      if (constant.name().equalsIgnoreCase(value)) {
        return constant;
      }
    }
    addProblem(key, "expected one of " + List.of(type.getEnumConstants()).toString().toLowerCase());
    return type.getEnumConstants()[0];
  }

  void addProblem(String key, String message) {
    problems.add(new SettingsProblem(team, section, key, message));
  }

  void reportUnknownKeys() {
    for (String key : values.keySet()) {
      if (!knownKeys.contains(key)) {
        addProblem(key, "unknown key; expected one of " + knownKeys.stream().sorted().toList());
      }
    }
  }
}
