package io.hickorydrift.core.scheduling;

/**
 * Bounds the statements in flight at a target, so that the rest waits at the home, where the order
 * of service is decided. Load pattern: a burst of listings fills the target's own queue, which is
 * first come, first served, and urgent statements wait behind it or are refused.
 *
 * <p>Invariant: the size is between the target's slots and twice that. Thread safety: confined to
 * one thread.
 */
public final class StatementWindow {
  // Keeps the slots busy during the round trip between an answer and the next statement.
  private static final int SPARE = 2;
  private static final int MAX_FACTOR = 2;
  // An answer that takes longer has waited in the target's queue.
  private static final double SLOW_FACTOR = 2;
  private static final double SMOOTHING_FACTOR = 0.1;

  private int slots;
  private int size;
  private int inFlight;
  private int quickAnswers;
  private double averageNanos;

  /** Creates the window of a target that runs {@code slots} statements at the same time. */
  public StatementWindow(int slots) {
    this.slots = Math.max(1, slots);
    size = Math.min(this.slots + SPARE, this.slots * MAX_FACTOR);
  }

  /** Sets the number of statements that the target runs at the same time. */
  public void setSlots(int newSlots) {
    slots = Math.max(1, newSlots);
    resize(size);
  }

  /** Returns whether another statement may be sent. */
  public boolean hasRoom() {
    return inFlight < size;
  }

  /**
   * Returns whether a first statement may be sent of an organisation that has {@code ownInFlight}
   * places. Those beyond what keeps the slots busy are not for one that has half of the slots:
   * statements of others would wait behind its own in the target's queue.
   */
  public boolean hasRoomFor(int ownInFlight) {
    return hasRoom() && (inFlight < slots + SPARE || 2 * ownInFlight < slots);
  }

  /** Takes a place; it has to be given back. */
  public void take() {
    inFlight++;
  }

  /** Gives a place back, after the answer or when the connection was lost. */
  public void giveBack() {
    if (inFlight == 0) {
      throw new IllegalStateException("no place is taken");
    }
    inFlight--;
  }

  /**
   * Records an answer of the target, before its place is given back. The window grows only while it
   * is full, since other answers do not show whether a larger one would be too large.
   */
  public void recordAnswer(long nanos) {
    boolean quick = averageNanos == 0 || nanos < SLOW_FACTOR * averageNanos;
    averageNanos += (averageNanos == 0 ? 1 : SMOOTHING_FACTOR) * (nanos - averageNanos);
    if (!quick) {
      quickAnswers = 0;
    } else if (inFlight >= size && ++quickAnswers >= size) {
      resize(size + 1);
    }
  }

  /** Records that the target refused a statement because its own queue is full. */
  public void recordBusy() {
    resize(size - 1);
  }

  private void resize(int wanted) {
    size = Math.max(slots, Math.min(slots * MAX_FACTOR, wanted));
    quickAnswers = 0;
  }

  /** Returns the current size. */
  public int size() {
    return size;
  }

  /** Returns the number of places taken. */
  public int inFlight() {
    return inFlight;
  }

  /** Returns the moving average of the time of an answer, in nanoseconds; 0 before the first. */
  public double averageNanos() {
    return averageNanos;
  }
}
