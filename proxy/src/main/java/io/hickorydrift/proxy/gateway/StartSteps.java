package io.hickorydrift.proxy.gateway;

import io.hickorydrift.proxy.metrics.Metrics;
import io.hickorydrift.proxy.net.EventLoop;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Times of the steps between the start of the process and the first statement that a target runs.
 * Load pattern: all instances lose power at once, and every caller returns while they start.
 *
 * <p>Invariant: each step has the time at which it was reached first. Thread safety: confined to
 * the loop's thread.
 */
final class StartSteps {
  /** A step of a start. */
  enum Step {
    /** The ports are open. */
    LISTENING,
    /** The store has answered a call. */
    STORE,
    /** The members of the fleet are known. */
    FLEET,
    /** A peer has answered over a link. */
    LINK,
    /** A declaration is in force. */
    DECLARATION,
    /** All entries of the store have been applied. */
    ENTRIES,
    /** The position of a group's primary is known. */
    PRIMARY,
    /** The load balancer may send sessions. */
    READY,
    /** A target has run a statement for this instance. */
    SERVING;

    private String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  private static final long NOT_REACHED = -1;
  // A larger age comes from a change of the system's clock, not from a start.
  private static final long MAX_PROCESS_AGE_MS = 60_000;
  private static final double MS_PER_SECOND = 1e3;

  private final EventLoop loop;
  private final long createdNanos;
  private final long[] reachedMs = new long[Step.values().length];
  private long processAgeMs;

  StartSteps(EventLoop loop, Metrics metrics) {
    this.loop = loop;
    createdNanos = loop.nowNanos();
    Arrays.fill(reachedMs, NOT_REACHED);
    metrics.registerLabelledGauge(
        "start_seconds",
        "Time from the start of the process to each step of the start, in seconds",
        "step",
        this::seconds);
  }

  /** Sets how long the process had run when this instance was created. */
  void setProcessAgeMs(long ageMs) {
    processAgeMs = ageMs < 0 || ageMs > MAX_PROCESS_AGE_MS ? 0 : ageMs;
  }

  /** Records that {@code step} is reached, unless it was before. */
  void record(Step step) {
    if (reachedMs[step.ordinal()] != NOT_REACHED) {
      return;
    }
    long sinceCreationMs = TimeUnit.NANOSECONDS.toMillis(loop.nowNanos() - createdNanos);
    reachedMs[step.ordinal()] = processAgeMs + sinceCreationMs;
    if (step == Step.READY || step == Step.SERVING) {
      log(step);
    }
  }

  private void log(Step step) {
    Logger.info(
        "event={} after_ms={} listening_ms={} store_ms={} fleet_ms={} link_ms={} declaration_ms={}"
            + " entries_ms={} primary_ms={} ready_ms={}",
        step.label(),
        ms(step),
        ms(Step.LISTENING),
        ms(Step.STORE),
        ms(Step.FLEET),
        ms(Step.LINK),
        ms(Step.DECLARATION),
        ms(Step.ENTRIES),
        ms(Step.PRIMARY),
        ms(Step.READY));
  }

  /** Returns the time from the start of the process to {@code step}, or -1 if not reached. */
  private long ms(Step step) {
    return reachedMs[step.ordinal()];
  }

  private Map<String, Double> seconds() {
    Map<String, Double> seconds = new LinkedHashMap<>();
    for (Step step : Step.values()) {
      if (ms(step) != NOT_REACHED) {
        seconds.put(step.label(), ms(step) / MS_PER_SECOND);
      }
    }
    return seconds;
  }
}
