package io.hickorydrift.core.directory;

import java.util.Arrays;

/**
 * The outcomes of the last statements at a target, and which part of its reads it should get. Load
 * patterns: a target leaves statements unanswered, fails a part of them or goes down and up every
 * few seconds while its own report says that it is well. Only outcomes of statements count.
 *
 * <p>Whether a target is passed over depends on the other targets of its group: {@link
 * OutlierEjection}. Thread safety: confined to one thread.
 */
public final class TargetHealth {
  /** How a statement ended. */
  public enum Outcome {
    /** The target ran the statement. */
    SUCCESS(0),
    /** The target reported that the statement failed. */
    FAILURE(1),
    /** The target refused the statement for lack of capacity. */
    REFUSAL(0.5),
    /** No answer came in time. */
    NO_ANSWER(1);

    // A refusal comes at once and says that the target works, but not for this statement.
    private final double failures;

    Outcome(double failures) {
      this.failures = failures;
    }
  }

  /** Which reads the target gets. */
  public enum State {
    /** All, less the share that fails. */
    HEALTHY,
    /** None; no probe has been sent yet. */
    PASSED_OVER,
    /** Only probes. */
    PROBING,
    /** A part that grows in steps. */
    RETURNING
  }

  /** Failure share from which a target may be passed over: a retry budget covers half of that. */
  static final double EJECTION_SHARE = 0.2;

  // Fewer outcomes would let one lost answer decide.
  private static final int MIN_OUTCOMES = 4;
  // A target that fails 40 % of its statements seldom (0.22) runs three in a row.
  private static final int MIN_SUCCESSES_UNDER_LOAD = 3;
  private static final long SLICE_NANOS = 250_000_000L;
  // 2 s: long enough for 8 probes, and a target that works again has all reads within 3 s.
  private static final int SLICES = 8;
  // Four reads a second find out soon that the target works, and few callers wait for a retry.
  private static final long PROBE_INTERVAL_NANOS = 250_000_000L;
  // With few reads, probes get the part of the first step of a return, so that most reads are safe.
  private static final int READS_PER_PROBE = 4;
  // Two probes: reads that arrive unevenly do not delay a probe beyond its interval.
  private static final int MAX_READS_SAVED = 2 * READS_PER_PROBE;
  private static final double[] RETURN_STEPS = {0.25, 0.5};
  // Two probe intervals, so that each step rests on outcomes.
  private static final long STEP_NANOS = 500_000_000L;
  private static final double SMOOTHING_FACTOR = 0.2;
  // Queueing at a working target seldom makes an answer take four times as long as usual.
  private static final double RETRY_DELAY_FACTOR = 4;
  private static final long MIN_RETRY_DELAY_NANOS = 50_000_000L;
  // The bounds that apply to other groups: a retry never comes later than there.
  private static final long UNKNOWN_RETRY_DELAY_NANOS = 120_000_000L;
  private static final long MAX_RETRY_DELAY_NANOS = 400_000_000L;

  private final long[] sliceNumbers = new long[SLICES];
  private final int[] outcomes = new int[SLICES];
  private final double[] failures = new double[SLICES];
  private State state = State.HEALTHY;
  private boolean failed;
  private long lastFailureNanos;
  private long lastProbeNanos;
  private int readsSaved;
  private int outcomesSincePassedOver;
  private int successesInRow;
  private int failuresInRow;
  private long firstSuccessNanos;
  private boolean failsInReturn;
  private int step;
  private long stepNanos;
  private double credit;
  private double averageAnswerNanos;

  TargetHealth() {
    // The clock may be negative.
    Arrays.fill(sliceNumbers, Long.MIN_VALUE);
  }

  /** Records the outcome of a statement, known at {@code nanos}. */
  public void record(Outcome outcome, long nanos) {
    outcomesSincePassedOver++;
    failsInReturn |= outcome.failures > 0;
    updateRuns(outcome, nanos);
    int slice = sliceOf(nanos);
    long number = Math.floorDiv(nanos, SLICE_NANOS);
    if (sliceNumbers[slice] > number) {
      return;
    }
    if (sliceNumbers[slice] < number) {
      sliceNumbers[slice] = number;
      outcomes[slice] = 0;
      failures[slice] = 0;
    }
    outcomes[slice]++;
    failures[slice] += outcome.failures;
    if (outcome.failures == 1 && (!failed || nanos - lastFailureNanos > 0)) {
      failed = true;
      lastFailureNanos = nanos;
    }
  }

  private void updateRuns(Outcome outcome, long nanos) {
    if (outcome == Outcome.SUCCESS) {
      firstSuccessNanos = successesInRow == 0 ? nanos : firstSuccessNanos;
      successesInRow++;
      failuresInRow = 0;
    } else if (outcome != Outcome.REFUSAL
        && (successesInRow == 0 || nanos - firstSuccessNanos >= 0)) {
      // A statement that was sent before the first success and lost says nothing about the others.
      successesInRow = 0;
      failuresInRow++;
    }
  }

  /** Records that a statement succeeded {@code answerNanos} after it was sent. */
  public void recordSuccess(long answerNanos, long nowNanos) {
    updateAverage(answerNanos);
    record(Outcome.SUCCESS, nowNanos);
  }

  /**
   * Records that a statement whose answer was recorded as missing at {@code missedNanos} has
   * succeeded after all, so that a target is not passed over for being slow.
   */
  public void recordLateSuccess(long missedNanos, long answerNanos) {
    updateAverage(answerNanos);
    outcomesSincePassedOver++;
    failuresInRow = 0;
    int slice = sliceOf(missedNanos);
    if (sliceNumbers[slice] == Math.floorDiv(missedNanos, SLICE_NANOS)) {
      failures[slice] -= Outcome.NO_ANSWER.failures;
    }
  }

  private void updateAverage(long answerNanos) {
    double before = averageAnswerNanos == 0 ? answerNanos : averageAnswerNanos;
    averageAnswerNanos = before + SMOOTHING_FACTOR * (answerNanos - before);
  }

  private static int sliceOf(long nanos) {
    return Math.floorMod(Math.floorDiv(nanos, SLICE_NANOS), SLICES);
  }

  private boolean isInWindow(int slice, long nowNanos) {
    return sliceNumbers[slice] > Math.floorDiv(nowNanos, SLICE_NANOS) - SLICES;
  }

  /** Returns the number of outcomes in the window. */
  public int outcomes(long nowNanos) {
    int sum = 0;
    for (int i = 0; i < SLICES; i++) {
      sum += isInWindow(i, nowNanos) ? outcomes[i] : 0;
    }
    return sum;
  }

  /** Returns the number of failures in the window; a refusal counts half. */
  public double failures(long nowNanos) {
    double sum = 0;
    for (int i = 0; i < SLICES; i++) {
      sum += isInWindow(i, nowNanos) ? failures[i] : 0;
    }
    return sum;
  }

  /** Returns the share of failures in the window, 0 if it has no outcome. */
  double failureShare(long nowNanos) {
    int count = outcomes(nowNanos);
    return count == 0 ? 0 : failures(nowNanos) / count;
  }

  /**
   * Returns whether the outcomes speak for passing the target over. One that is passed over stays
   * so until there are enough outcomes of probes and the last one was a success, so that it does
   * not return only because no read went there. One that returns is passed over again only if a
   * statement failed since, and not because older successes have left the window. Enough failures
   * in a row suffice then, since many successes from before would keep its failure share low.
   */
  boolean isFailing(long nowNanos) {
    boolean highShare = failureShare(nowNanos) >= EJECTION_SHARE;
    if (isPassedOver()) {
      return outcomesSincePassedOver < MIN_OUTCOMES || highShare || failuresInRow > 0;
    }
    if (state == State.RETURNING) {
      return failsInReturn && (highShare || failuresInRow >= MIN_OUTCOMES);
    }
    return outcomes(nowNanos) >= MIN_OUTCOMES && highShare;
  }

  /** Applies the decision whether the target is passed over. */
  void passOver(boolean passedOver, long nowNanos) {
    if (passedOver) {
      if (!isPassedOver()) {
        state = State.PASSED_OVER;
        lastProbeNanos = nowNanos;
        readsSaved = 0;
        outcomesSincePassedOver = 0;
        successesInRow = 0;
      }
    } else if (isPassedOver()) {
      state = State.RETURNING;
      failsInReturn = false;
      step = 0;
      stepNanos = nowNanos;
      credit = 0;
    } else if (state == State.RETURNING) {
      advance(nowNanos);
    }
  }

  private void advance(long nowNanos) {
    boolean failedInStep = failed && lastFailureNanos - stepNanos > 0;
    long quietSinceNanos = failedInStep ? lastFailureNanos : stepNanos;
    if (nowNanos - quietSinceNanos < STEP_NANOS) {
      return;
    }
    step++;
    stepNanos = nowNanos;
    if (step == RETURN_STEPS.length) {
      state = State.HEALTHY;
    }
  }

  /** Returns which reads the target gets. */
  public State state() {
    return state;
  }

  /** Returns whether the target gets no reads but probes. */
  public boolean isPassedOver() {
    return state == State.PASSED_OVER || state == State.PROBING;
  }

  /**
   * Returns whether the last statements at the target, which is passed over, succeeded, so that it
   * may run reads that would have to wait everywhere else.
   */
  boolean mayRelieveOthers() {
    return successesInRow >= MIN_SUCCESSES_UNDER_LOAD;
  }

  /** Returns whether the next read of the group probes the target, which is passed over. */
  boolean takesNextReadAsProbe(long nowNanos) {
    readsSaved = Math.min(MAX_READS_SAVED, readsSaved + 1);
    if (readsSaved < READS_PER_PROBE || nowNanos - lastProbeNanos < PROBE_INTERVAL_NANOS) {
      return false;
    }
    state = State.PROBING;
    lastProbeNanos = nowNanos;
    readsSaved -= READS_PER_PROBE;
    return true;
  }

  /**
   * Returns whether the target gets the next read of those that would go to it: in the long run the
   * part of its step, less its failure share.
   */
  boolean takesNextRead(long nowNanos) {
    double share = outcomes(nowNanos) < MIN_OUTCOMES ? 0 : failureShare(nowNanos);
    double part = (state == State.RETURNING ? RETURN_STEPS[step] : 1) * (1 - share);
    if (part == 1) {
      return true;
    }
    credit += part;
    if (credit < 1) {
      return false;
    }
    credit--;
    return true;
  }

  /** Returns the time without an answer after which a read is tried at another target. */
  public long retryDelayNanos() {
    if (averageAnswerNanos == 0) {
      return UNKNOWN_RETRY_DELAY_NANOS;
    }
    long delayNanos = (long) (averageAnswerNanos * RETRY_DELAY_FACTOR);
    return Math.max(MIN_RETRY_DELAY_NANOS, Math.min(MAX_RETRY_DELAY_NANOS, delayNanos));
  }

  /** Returns the moving average of the time until a success, 0 if there was none yet. */
  public double averageAnswerNanos() {
    return averageAnswerNanos;
  }
}
