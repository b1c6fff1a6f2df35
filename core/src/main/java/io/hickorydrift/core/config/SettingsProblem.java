package io.hickorydrift.core.config;

/**
 * A validation problem of a declaration.
 *
 * <p>Thread safety: immutable.
 *
 * @param team team whose subtree contains it
 * @param section section, as written in brackets in the file
 * @param key key in the section, or null for the section itself
 * @param message description of the problem
 */
public record SettingsProblem(String team, String section, String key, String message) {
  @Override
  public String toString() {
    String keyPart = key == null ? "" : " key " + key;
    return "team " + team + " section [" + section + "]" + keyPart + ": " + message;
  }
}
