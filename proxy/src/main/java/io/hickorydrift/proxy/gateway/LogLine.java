package io.hickorydrift.proxy.gateway;

/**
 * Formats log lines of {@code key=value} pairs whose values may come from callers, targets or the
 * operator.
 *
 * <p>Invariant: whatever the values hold, the line has the keys of its format and no others, and no
 * line end. Thread safety: stateless.
 */
final class LogLine {
  private static final String PLACEHOLDER = "{}";
  private static final char QUOTE = '"';
  private static final char LAST_ASCII = '~';

  private LogLine() {}

  /**
   * Replaces each {@code {}} of {@code format} by the next value. A value that is not a plain word
   * is put into quotes, unless the format has them. Quotes, backslashes and control characters are
   * escaped.
   */
  static String format(String format, Object... values) {
    StringBuilder line = new StringBuilder(format.length() + 16 * values.length);
    int from = 0;
    for (Object value : values) {
      int next = format.indexOf(PLACEHOLDER, from);
      if (next < 0) {
        break;
      }
      line.append(format, from, next);
      append(line, String.valueOf(value), next > 0 && format.charAt(next - 1) == QUOTE);
      from = next + PLACEHOLDER.length();
    }
    return line.append(format, from, format.length()).toString();
  }

  private static void append(StringBuilder line, String value, boolean quoted) {
    if (quoted || isWord(value)) {
      appendEscaped(line, value);
    } else {
      line.append(QUOTE);
      appendEscaped(line, value);
      line.append(QUOTE);
    }
  }

  private static boolean isWord(String value) {
    for (int i = 0; i < value.length(); i++) {
      char each = value.charAt(i);
      if (each <= ' ' || each > LAST_ASCII || each == QUOTE || each == '=' || each == '\\') {
        return false;
      }
    }
    return !value.isEmpty();
  }

  private static void appendEscaped(StringBuilder line, String value) {
    for (int i = 0; i < value.length(); i++) {
      char each = value.charAt(i);
      if (each == QUOTE || each == '\\') {
        line.append('\\').append(each);
      } else if (each == '\n') {
        line.append("\\n");
      } else if (each == '\r') {
        line.append("\\r");
      } else if (Character.isISOControl(each) || each > 'ÿ') {
        line.append(String.format("\\u%04x", (int) each));
      } else {
        line.append(each);
      }
    }
  }
}
