package io.hickorydrift.proxy.runtime;

import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;
import org.tinylog.Logger;

/**
 * A thread with one job, fed by a bounded ring.
 *
 * <p>Invariant: events run one at a time in the order of the ring, so that state touched by them
 * alone needs no lock. Thread safety: {@link #offer} and {@link #submit} may be called from any
 * thread.
 */
public final class Worker implements AutoCloseable {
  private static final long PARK_NANOS = 50_000_000L;

  private final MpscArrayQueue<Runnable> ring;
  private final int offerLimit;
  private final Thread thread;
  private volatile boolean parked;
  private volatile boolean closed;

  /** Starts a duty with room for {@code capacity} events. */
  public Worker(String name, int capacity) {
    ring = new MpscArrayQueue<>(capacity);
    offerLimit = capacity / 2;
    thread = new Thread(this::run, name);
    thread.setDaemon(true);
    thread.start();
  }

  /**
   * Hands over new work; returns false, without waiting, if the ring is nearly full. The last part
   * of the ring is left for results of work that was taken before.
   */
  public boolean offer(Runnable event) {
    if (closed || ring.size() > offerLimit || !ring.offer(event)) {
      return false;
    }
    wake();
    return true;
  }

  /**
   * Hands over the result of work taken before. Such results are bounded by the connections they
   * come over and fit into the ring; should it be full all the same, the caller's thread waits.
   */
  public void submit(Runnable event) {
    while (!closed && !ring.offer(event)) {
      Thread.onSpinWait();
    }
    wake();
  }

  private void wake() {
    if (parked) {
      LockSupport.unpark(thread);
    }
  }

  /** Returns the number of events that wait. */
  public int queuedEvents() {
    return ring.size();
  }

  private void run() {
    while (!closed) {
      Runnable event = ring.poll();
      if (event == null) {
        park();
        continue;
      }
      try {
        event.run();
      } catch (RuntimeException e) {
        Logger.error(e, "event=duty_failed duty={}", thread.getName());
      }
    }
  }

  private void park() {
    parked = true;
    if (ring.isEmpty()) {
      LockSupport.parkNanos(this, PARK_NANOS);
    }
    parked = false;
  }

  @Override
  public void close() {
    closed = true;
    LockSupport.unpark(thread);
  }
}
