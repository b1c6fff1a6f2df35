package io.hickorydrift.proxy.settings;

import java.util.List;

/** A settings file that cannot be used, with everything that is wrong in it. */
public final class SettingsException extends RuntimeException {
  private static final long serialVersionUID = 1;

  private final List<String> problems;

  /** Tells each problem: file, section, key, what was expected. */
  public SettingsException(List<String> problems) {
    super(String.join("\n", problems));
    this.problems = List.copyOf(problems);
  }

  /** Returns the problems. */
  public List<String> problems() {
    return problems;
  }
}
