package io.hickorydrift.standin.target;

import io.hickorydrift.core.message.Position;
import java.sql.SQLException;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

/**
 * Keeps the database at the state of the log: replays entries after the apply lag, and rebuilds the
 * database when entries that it has seen are cut off the log.
 *
 * <p>Invariant: the database holds exactly the entries up to {@code applied}. Commits at a primary
 * happen under {@link #commitLock}, so their order is that of the log.
 *
 * <p>Thread safety: safe.
 */
final class StateMachine implements AutoCloseable {
  /** Held while an entry is committed and appended, and while the term changes. */
  final Object commitLock = new Object();

  /**
   * Held while an entry is replayed and while the database is rebuilt. Replay must not hold the
   * commit lock: a statement of a former term may wait for that one with a row locked.
   */
  private final Object applyLock = new Object();

  private static final long IDLE_WAIT_MS = 20;

  private final ReplicatedLog log;
  private final long applyLagMs;
  private final String self;
  private final Thread applier;
  private volatile SqlEngine engine;
  private volatile long appliedIndex;
  private volatile boolean closed;

  StateMachine(String self, ReplicatedLog log, long applyLagMs) throws SQLException {
    this.self = self;
    this.log = log;
    this.applyLagMs = applyLagMs;
    engine = newEngine();
    applier = new Thread(this::applyLoop, "applier-" + self);
    applier.setDaemon(true);
    applier.start();
  }

  SqlEngine engine() {
    return engine;
  }

  Position applied() {
    return log.positionAt(Math.min(appliedIndex, log.lastPosition().index()));
  }

  /** Notes that the entry at {@code index} is committed here; called before it is appended. */
  void recordLocalCommit(long index) {
    appliedIndex = index;
  }

  /** Returns whether a primary has caught up with its own log. */
  boolean isCaughtUp() {
    return appliedIndex >= log.lastPosition().index();
  }

  /** Rebuilds the database without the entries from {@code index} on, if it has seen them. */
  void truncateFrom(long index) throws SQLException {
    synchronized (applyLock) {
      if (appliedIndex < index) {
        return;
      }
      SqlEngine rebuilt = newEngine();
      for (long i = 1; i < index; i++) {
        rebuilt.replay(log.entryAt(i));
      }
      engine.close();
      engine = rebuilt;
      appliedIndex = index - 1;
    }
  }

  private SqlEngine newEngine() throws SQLException {
    return new SqlEngine(self + "-" + UUID.randomUUID());
  }

  private void applyLoop() {
    while (!closed) {
      try {
        if (!applyNext()) {
          log.awaitChange(IDLE_WAIT_MS);
        }
      } catch (InterruptedException e) {
        return;
      } catch (SQLException e) {
        // A statement of a former term still holds a row; it gives up when it tries to commit.
        log.notifyChange();
      }
    }
  }

  private boolean applyNext() throws SQLException, InterruptedException {
    long dueNanos = 0;
    synchronized (applyLock) {
      List<LogEntry> next = log.entriesFrom(appliedIndex + 1, 1);
      if (next.isEmpty()) {
        return false;
      }
      boolean primary = self.equals(log.primary());
      long lagNanos = primary ? 0 : TimeUnit.MILLISECONDS.toNanos(applyLagMs);
      dueNanos = log.receivedAtNanos(next.get(0).index()) + lagNanos - System.nanoTime();
      if (dueNanos <= 0) {
        engine.replay(next.get(0));
        appliedIndex++;
        log.notifyChange();
        return true;
      }
    }
    long waitMs = Math.min(IDLE_WAIT_MS, TimeUnit.NANOSECONDS.toMillis(dueNanos) + 1);
    log.awaitChange(waitMs);
    return true;
  }

  @Override
  public void close() throws SQLException {
    closed = true;
    applier.interrupt();
    engine.close();
  }
}
