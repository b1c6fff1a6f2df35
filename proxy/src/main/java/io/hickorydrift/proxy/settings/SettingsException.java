package io.hickorydrift.proxy.settings;

import java.util.List;

/** Reports an invalid settings file with all its problems. */
public final class SettingsException extends RuntimeException {
  private static final long serialVersionUID = 1;

  private final List<String> problems;

  /** Creates an exception; each problem names the file, section, key and expected value. */
  public SettingsException(List<String> problems) {
    super(String.join("\n", problems));
    this.problems = List.copyOf(problems);
  }

  /** Returns the problems. */
  public List<String> problems() {
    return problems;
  }
}
