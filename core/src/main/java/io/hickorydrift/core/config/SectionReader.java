package io.hickorydrift.core.config;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reads the typed values of one section and collects what is wrong with it.
 *
 * <p>Thread safety: confined to one thread.
 */
final class SectionReader {
  private final String team;
  private final String section;
  private final Map<String, String> values;
  private final List<SettingsProblem> problems;
  private final Set<String> known = new HashSet<>();

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
      problem(key, "a value is missing");
      return "";
    }
    return value;
  }

  String optionalText(String key) {
    known.add(key);
    String value = values.get(key);
    return value == null ? null : value.trim();
  }

  long integer(String key, long lowest, long highest, Long otherwise) {
    String value = optionalText(key);
    if (value == null && otherwise != null) {
      return otherwise;
    }
    try {
      long number = Long.parseLong(String.valueOf(value));
      if (number >= lowest && number <= highest) {
        return number;
      }
    } catch (NumberFormatException e) {
      // Told below, as for a number out of range.
    }
    problem(key, "expected a whole number from " + lowest + " to " + highest);
    return lowest;
  }

  <E extends Enum<E>> E enumConstant(String key, Class<E> type) {
    String value = requireText(key);
    for (E constant : type.getEnumConstants()) {
      if (constant.name().equalsIgnoreCase(value)) {
        return constant;
      }
    }
    problem(key, "expected one of " + List.of(type.getEnumConstants()).toString().toLowerCase());
    return type.getEnumConstants()[0];
  }

  void problem(String key, String expected) {
    problems.add(new SettingsProblem(team, section, key, expected));
  }

  void reportUnknownKeys() {
    for (String key : values.keySet()) {
      if (!known.contains(key)) {
        problem(key, "unknown key; expected one of " + known.stream().sorted().toList());
      }
    }
  }
}
