package io.hickorydrift.standin.target;

import io.hickorydrift.core.message.Position;
import java.util.ArrayList;
import java.util.List;

/**
 * A target's log, accepted term and knowledge of the primary.
 *
 * <p>Invariants: the term never falls; entries have consecutive indexes and terms that never fall;
 * only entries that conflict with those of a later primary are cut off.
 *
 * <p>Thread safety: safe; guarded by its own monitor, which {@code wait} users share.
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

  synchronized List<LogEntry> entriesFrom(long index, int most) {
    int start = (int) Math.min(entries.size(), index - 1);
    int count = Math.min(most, entries.size() - start);
    return List.copyOf(entries.subList(start, start + count));
  }

  /** Accepts {@code newTerm} and refuses all lower ones from now on. */
  synchronized boolean fence(long newTerm) {
    if (newTerm < term || (newTerm == term && primary != null)) {
      return false;
    }
    term = newTerm;
    primary = null;
    notifyAll();
    return true;
  }

  /** Makes {@code self} the primary of {@code newTerm} and opens the term with an empty entry. */
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

  /** Adds an entry at the end; the caller has checked that this target is the primary. */
  synchronized void append(LogEntry entry) {
    entries.add(entry);
    receivedAtNanos.add(System.nanoTime());
    notifyAll();
  }

  /**
   * Takes in entries of a primary. Returns the index from which this log was cut off first, 0 if it
   * was not, and -1 if the entries do not follow on this log.
   */
  synchronized long appendFromPrimary(AppendRequest request) {
    if (request.term() > term || primary == null) {
      term = request.term();
      primary = request.primary();
      notifyAll();
    }
    boolean follows =
        request.previousIndex() <= entries.size()
            && positionAt(request.previousIndex()).term() == request.previousTerm();
    if (!follows) {
      return -1;
    }
    long cutFrom = 0;
    for (LogEntry entry : request.entries()) {
      if (entry.index() <= entries.size()) {
        if (entryAt(entry.index()).term() == entry.term()) {
          continue;
        }
        cutFrom = cutFrom == 0 ? entry.index() : cutFrom;
        entries.subList((int) entry.index() - 1, entries.size()).clear();
        receivedAtNanos.subList((int) entry.index() - 1, receivedAtNanos.size()).clear();
      }
      append(entry);
    }
    return cutFrom;
  }

  synchronized void awaitChange(long waitMs) throws InterruptedException {
    wait(Math.max(1, waitMs));
  }

  synchronized void notifyChange() {
    notifyAll();
  }
}
