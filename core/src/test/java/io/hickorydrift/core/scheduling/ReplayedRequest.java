package io.hickorydrift.core.scheduling;

/** A statement or transaction that a replayed caller sends, and what became of it. */
final class ReplayedRequest {
  enum Result {
    RUNNING,
    SERVED,
    REFUSED,
    ABORTED
  }

  final String organisation;
  final String kind;
  final int priority;
  final long objectiveNanos;
  final long arrivalNanos;
  final long[] serviceNanos;
  final long pauseNanos;
  Result result = Result.RUNNING;
  long endNanos;
  int nextStatement;
  long lastUsedNanos;
  // Arrival of the first attempt of the operation.
  long firstArrivalNanos;
  // Delay after which a refused caller retries; 100 ms where nothing is predicted.
  long retryNanos = 100_000_000L;

  /** Creates a request; one with several statements is a transaction with pauses between them. */
  ReplayedRequest(
      String organisation,
      String kind,
      int priority,
      long objectiveNanos,
      long arrivalNanos,
      long[] serviceNanos,
      long pauseNanos) {
    this.organisation = organisation;
    this.kind = kind;
    this.priority = priority;
    this.objectiveNanos = objectiveNanos;
    this.arrivalNanos = arrivalNanos;
    firstArrivalNanos = arrivalNanos;
    this.serviceNanos = serviceNanos;
    this.pauseNanos = pauseNanos;
  }

  /** Returns a copy that has not run yet. */
  ReplayedRequest again() {
    return again(arrivalNanos);
  }

  /** Returns a copy that arrives at {@code atNanos}. */
  ReplayedRequest again(long atNanos) {
    ReplayedRequest copy =
        new ReplayedRequest(
            organisation, kind, priority, objectiveNanos, atNanos, serviceNanos, pauseNanos);
    copy.firstArrivalNanos = firstArrivalNanos;
    return copy;
  }

  boolean isTransaction() {
    return serviceNanos.length > 1;
  }

  /** Returns whether it was served within its objective; a caller's pauses do not count. */
  boolean inTime() {
    long pausesNanos = pauseNanos * (serviceNanos.length - 1);
    return result == Result.SERVED && endNanos - arrivalNanos - pausesNanos <= objectiveNanos;
  }
}
