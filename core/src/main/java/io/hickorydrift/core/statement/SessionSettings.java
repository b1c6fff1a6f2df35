package io.hickorydrift.core.statement;

import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The values and the prepared statements of a caller's session.
 *
 * <p>Invariant: what a caller adds stays within the limits of its session and of its instance; a
 * refused change leaves the session as it was. Thread safety: confined to one thread.
 */
public final class SessionSettings {
  /** Maximum number of values, and of prepared statements, in a session. */
  public static final int MAX_ENTRIES = 256;

  /** Maximum size of all names, values and shapes in a session: two messages of 1 MiB. */
  public static final int MAX_BYTES = 2 * 1024 * 1024;

  // Objects and table slots of an entry, so that short entries are not free.
  private static final int ENTRY_BYTES = 128;

  private final TextBudget budget;
  private final Map<String, String> values = new LinkedHashMap<>();
  private final Map<String, PreparedStatement> prepared = new HashMap<>();
  private final Map<String, String> unmodifiableValues = Collections.unmodifiableMap(values);
  private final Map<String, PreparedStatement> unmodifiablePrepared =
      Collections.unmodifiableMap(prepared);
  private long usedBytes;

  /** Creates the settings of a new session, whose memory is taken from {@code budget}. */
  public SessionSettings(TextBudget budget) {
    this.budget = budget;
  }

  /** Returns settings that another instance has accepted. */
  public static SessionSettings accepted(
      Map<String, String> values, Map<String, PreparedStatement> prepared) {
    SessionSettings settings = new SessionSettings(new TextBudget(Long.MAX_VALUE));
    settings.values.putAll(values);
    settings.prepared.putAll(prepared);
    return settings;
  }

  /** Sets a value. Returns null, or why it was not set. */
  public FailureCode setValue(String name, String value) {
    String before = values.get(name);
    FailureCode refusal =
        replace(sizeOf(name, before), sizeOf(name, value), before == null ? values.size() : 0);
    if (refusal == null) {
      values.put(name, value);
    }
    return refusal;
  }

  /** Adds or replaces a prepared statement. Returns null, or why it was not added. */
  public FailureCode prepare(String name, boolean writes, String shape) {
    PreparedStatement before = prepared.get(name);
    FailureCode refusal =
        replace(
            sizeOf(name, before == null ? null : before.shape()),
            sizeOf(name, shape),
            before == null ? prepared.size() : 0);
    if (refusal == null) {
      prepared.put(name, new PreparedStatement(writes, shape));
    }
    return refusal;
  }

  /** Removes a prepared statement, if there is one of that name. */
  public void closePrepared(String name) {
    PreparedStatement removed = prepared.remove(name);
    if (removed != null) {
      replace(sizeOf(name, removed.shape()), 0, 0);
    }
  }

  /**
   * Gives the memory of a session that has ended back. Its settings remain for a statement that is
   * still running.
   */
  public void release() {
    budget.tryTake(-usedBytes);
    usedBytes = 0;
  }

  private static long sizeOf(String name, String text) {
    return text == null ? 0 : (long) ENTRY_BYTES + name.length() + text.length();
  }

  private FailureCode replace(long bytesBefore, long bytesAfter, int otherEntries) {
    long added = bytesAfter - bytesBefore;
    if (otherEntries >= MAX_ENTRIES || added > 0 && usedBytes + added > MAX_BYTES) {
      return FailureCode.TOO_LARGE;
    }
    if (!budget.tryTake(added)) {
      return FailureCode.BUSY;
    }
    usedBytes += added;
    return null;
  }

  /** Returns the values by name. */
  public Map<String, String> values() {
    return unmodifiableValues;
  }

  /** Returns the prepared statements by the caller's names. */
  public Map<String, PreparedStatement> prepared() {
    return unmodifiablePrepared;
  }
}
