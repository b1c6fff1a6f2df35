package io.hickorydrift.standin.target;

import io.hickorydrift.core.message.Position;
import java.util.ArrayList;
import java.util.List;

/**
 * Log of a target with its accepted term and the primary of that term.
 *
 * <p>Invariants: the term never decreases; entries have consecutive indexes and non-decreasing
 * terms; only entries that conflict with those of a later primary are truncated.
 *
 * <p>Thread safety: safe; guarded by its own monitor, on which {@link #awaitChange} waits.
 */
final class ReplicatedLog {
  private final List<LogEntry> entries = new ArrayList<>();
  private final List<Long> receivedAtNanos = new ArrayList<>();
  private long term;
  private String primary;

  synchronized long term() {
    return term;
  }

  synchronized String primary() {
    return primary;
  }

  synchronized Position lastPosition() {
    return entries.isEmpty()
        ? new Position(0, 0)
        : new Position(entries.get(entries.size() - 1).term(), entries.size());
  }

  synchronized Position positionAt(long index) {
    return index == 0
        ? new Position(0, 0)
        : new Position(entries.get((int) index - 1).term(), index);
  }

  synchronized LogEntry entryAt(long index) {
    return entries.get((int) index - 1);
  }

  synchronized long receivedAtNanos(long index) {
    return index <= receivedAtNanos.size()
        ? receivedAtNanos.get((int) index - 1)
        : System.nanoTime();
  }

  synchronized List<LogEntry> entriesFrom(long index, int maxEntries) {
    int start = (int) Math.min(entries.size(), index - 1);
    int count = Math.min(maxEntries, entries.size() - start);
    return List.copyOf(entries.subList(start, start + count));
  }

  /** Accepts {@code newTerm} and refuses all lower terms from now on. */
  synchronized boolean fence(long newTerm) {
    if (newTerm < term || (newTerm == term && primary != null)) {
      return false;
    }
    term = newTerm;
    primary = null;
    notifyAll();
    return true;
  }

  /** Makes {@code self} the primary of {@code newTerm} and starts the term with an empty entry. */
  synchronized boolean promote(long newTerm, String self) {
    if (newTerm == term && self.equals(primary)) {
      return true;
    }
    if (newTerm != term || primary != null) {
      return false;
    }
    primary = self;
    append(new LogEntry(term, entries.size() + 1L, null, null, List.of(), 0));
    return true;
  }

  /** Appends an entry. The caller has checked that this target is the primary. */
  synchronized void append(LogEntry entry) {
    entries.add(entry);
    receivedAtNanos.add(System.nanoTime());
    notifyAll();
  }

  /**
   * Appends entries from a primary. Returns the lowest index from which this log was truncated, 0
   * if it was not truncated, or -1 if the entry before the first one sent does not match this log.
   */
  synchronized long appendFromPrimary(AppendRequest request) {
    if (request.term() > term || primary == null) {
      term = request.term();
      primary = request.primary();
      notifyAll();
    }
    boolean matchesPrevious =
        request.previousIndex() <= entries.size()
            && positionAt(request.previousIndex()).term() == request.previousTerm();
    if (!matchesPrevious) {
      return -1;
    }
    long truncatedFrom = 0;
    for (LogEntry entry : request.entries()) {
      if (entry.index() <= entries.size()) {
        if (entryAt(entry.index()).term() == entry.term()) {
          continue;
        }
        truncatedFrom = truncatedFrom == 0 ? entry.index() : truncatedFrom;
        entries.subList((int) entry.index() - 1, entries.size()).clear();
        receivedAtNanos.subList((int) entry.index() - 1, receivedAtNanos.size()).clear();
      }
      append(entry);
    }
    return truncatedFrom;
  }

  synchronized void awaitChange(long waitMs) throws InterruptedException {
    wait(Math.max(1, waitMs));
  }

  synchronized void notifyChange() {
    notifyAll();
  }
}
