package io.hickorydrift.proxy.runtime;

import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;
import org.tinylog.Logger;

/**
 * A thread that runs events from a bounded ring buffer.
 *
 * <p>Invariant: events run one at a time in the order of the ring, so that state accessed only by
 * them needs no lock. Thread safety: {@link #offer} and {@link #submit} may be called from any
 * thread.
 */
public final class Worker implements AutoCloseable {
  private static final long MAX_PARK_NANOS = 50_000_000L;

  private final MpscArrayQueue<Runnable> ring;
  private final int offerLimit;
  private final Thread thread;
  private volatile boolean parked;
  private volatile boolean closed;

  /** Starts a worker with a ring of {@code capacity} events. */
  public Worker(String name, int capacity) {
    ring = new MpscArrayQueue<>(capacity);
    offerLimit = capacity / 2;
    thread = new Thread(this::run, name);
    thread.setDaemon(true);
    thread.start();
  }

  /**
   * Enqueues new work; returns false, without blocking, if the ring is more than half full. The
   * other half is reserved for the results of work accepted before.
   */
  public boolean offer(Runnable event) {
    if (closed || ring.size() > offerLimit || !ring.offer(event)) {
      return false;
    }
    wake();
    return true;
  }

  /**
   * Enqueues the result of work accepted before. Such results are bounded by the connections that
   * deliver them and fit into the ring; if it is full nevertheless, the calling thread spins.
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

  /** Returns the number of queued events. */
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
        Logger.error(e, "event=worker_event_failed worker={}", thread.getName());
      }
    }
  }

  private void park() {
    parked = true;
    if (ring.isEmpty()) {
      LockSupport.parkNanos(this, MAX_PARK_NANOS);
    }
    parked = false;
  }

  @Override
  public void close() {
    closed = true;
    LockSupport.unpark(thread);
  }
}
