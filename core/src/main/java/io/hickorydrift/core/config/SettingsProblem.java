package io.hickorydrift.core.config;

/**
 * Something wrong in a declaration.
 *
 * <p>Thread safety: immutable.
 *
 * @param team team whose subtree has it
 * @param section section, as in the brackets of the file
 * @param key key in the section, or null for the section itself
 * @param message what was expected
 */
public record SettingsProblem(String team, String section, String key, String message) {
  @Override
  public String toString() {
    String place = key == null ? "" : " key " + key;
    return "team " + team + " section [" + section + "]" + place + ": " + message;
  }
}
