package io.hickorydrift.proxy.diagnosis;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Groups the failed and refused requests in the logs of one or more instances by cause. A cause is
 * the final decision on the request, its result code and its reason without numbers and names.
 *
 * <p>Invariant: each line with a final decision counts once. Thread safety: confined to one thread.
 */
public final class FailureSummary {
  private static final Pattern FINAL_DECISION =
      Pattern.compile("event=request id=(\\S+) decision=(refused|failed) .*");
  private static final Pattern CODE = Pattern.compile(" code=(\\S+)");
  private static final Pattern REASON = Pattern.compile(" reason=\"([^\"]*)\"");
  private static final Pattern TIME = Pattern.compile("^\\D{0,3}(\\d+(?:\\.\\d+)?)");
  private static final Pattern VARIABLE_TEXT = Pattern.compile("\\b\\S*\\d\\S*\\b");
  private static final int MAX_EXAMPLES = 3;
  private static final int BAR_LENGTH = 50;

  private static final class Cause {
    private int count;
    private final List<String> examples = new ArrayList<>();
  }

  private final Map<String, Cause> causes = new HashMap<>();
  private final TreeMap<Long, Integer> countBySecond = new TreeMap<>();
  private int total;

  /** Adds one line of a log; lines without a final decision on a request are ignored. */
  public void add(String line) {
    int start = line.indexOf("event=request ");
    if (start < 0) {
      return;
    }
    String event = line.substring(start);
    Matcher decision = FINAL_DECISION.matcher(event);
    if (!decision.matches()) {
      return;
    }
    String reason = VARIABLE_TEXT.matcher(find(REASON, event)).replaceAll("*");
    String key = decision.group(2) + " " + find(CODE, event) + ": " + reason;
    Cause cause = causes.computeIfAbsent(key, name -> new Cause());
    cause.count++;
    total++;
    if (cause.examples.size() < MAX_EXAMPLES) {
      cause.examples.add(decision.group(1));
    }
    Matcher time = TIME.matcher(line);
    if (time.find()) {
      countBySecond.merge((long) Double.parseDouble(time.group(1)), 1, Integer::sum);
    }
  }

  private static String find(Pattern pattern, String text) {
    Matcher matcher = pattern.matcher(text);
    return matcher.find() ? matcher.group(1) : "none";
  }

  /** Returns the number of requests with each cause. */
  public Map<String, Integer> countsByCause() {
    Map<String, Integer> counts = new HashMap<>();
    causes.forEach((key, cause) -> counts.put(key, cause.count));
    return counts;
  }

  /** Prints the causes from the most frequent one, and the failures over time. */
  public void print(PrintStream out) {
    out.printf("%d failed or refused requests%n", total);
    List<Map.Entry<String, Cause>> sorted = new ArrayList<>(causes.entrySet());
    sorted.sort(Comparator.comparingInt(entry -> -entry.getValue().count));
    for (Map.Entry<String, Cause> entry : sorted) {
      Cause cause = entry.getValue();
      out.printf("%6d  %s  (ids %s)%n", cause.count, entry.getKey(), cause.examples);
    }
    printOverTime(out);
  }

  private void printOverTime(PrintStream out) {
    if (countBySecond.isEmpty()) {
      return;
    }
    int most = countBySecond.values().stream().mapToInt(Integer::intValue).max().orElse(1);
    for (long second = countBySecond.firstKey(); second <= countBySecond.lastKey(); second++) {
      int count = countBySecond.getOrDefault(second, 0);
      int length = (int) Math.ceil((double) count * BAR_LENGTH / most);
      out.printf("%6d s %5d %s%n", second, count, "#".repeat(length));
    }
  }
}
