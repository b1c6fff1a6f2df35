package io.hickorydrift.core.answer;

import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.placement.TextHash;
import io.hickorydrift.core.position.Positions;
import io.hickorydrift.core.statement.TargetMessage;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * What a target has sent on one connection, as 64-bit hashes. A message that is not in the history
 * is not a repeat of an earlier one.
 *
 * <p>Invariant: the owner closes the connection after a bounded number of answers, because a repeat
 * may come at any time. Thread safety: confined to one thread.
 */
final class AnswerHistory {
  // The 64-bit golden ratio, made odd, as in Fibonacci hashing.
  private static final long MULTIPLIER = 0x9e3779b97f4a7c15L;

  private final Set<Long> signatures = new HashSet<>();
  private final Set<Long> rows = new HashSet<>();
  private final Set<Long> results = new HashSet<>();
  private final Set<Long> ends = new HashSet<>();
  private final Set<Long> failures = new HashSet<>();
  private final Set<Long> endedFailures = new HashSet<>();
  private Position highest;
  private boolean failedAtHighest;
  private boolean unsignedSeen;
  private int answerCount;

  int answerCount() {
    return answerCount;
  }

  boolean hasSignature(String signature) {
    return signatures.contains(TextHash.of(signature));
  }

  boolean hasRows() {
    return !rows.isEmpty();
  }

  boolean hasRow(String row) {
    return rows.contains(TextHash.of(row));
  }

  /** Returns whether an answer with a signature had just these rows. */
  boolean hasResult(List<String> answerRows) {
    return results.contains(hash(answerRows));
  }

  boolean hasEnd(TargetMessage.Ready end) {
    return ends.contains(hash(end));
  }

  /** Returns whether earlier messages could make up such an answer without a signature. */
  boolean hasUnsigned(List<String> answerRows, TargetMessage.Ready end) {
    return unsignedSeen && hasEnd(end) && answerRows.stream().allMatch(this::hasRow);
  }

  boolean hasFailure(TargetMessage.Failure failure) {
    return failures.contains(hash(failure));
  }

  /** Returns whether there was such an answer. */
  boolean hasFailure(TargetMessage.Failure failure, TargetMessage.Ready end) {
    return endedFailures.contains(mix(hash(failure), hash(end)));
  }

  /** Returns whether parts of earlier answers could make up such an answer. */
  boolean hasPartsOfFailure(TargetMessage.Failure failure, TargetMessage.Ready end) {
    return hasFailure(failure) && hasEnd(end);
  }

  boolean hasFailures() {
    return !failures.isEmpty();
  }

  /** Returns whether a command failed and the log has not moved on since. */
  boolean hasFailedAtHighest() {
    return failedAtHighest;
  }

  /** Returns whether the log was longer than at {@code position} in an earlier answer. */
  boolean isPast(Position position) {
    return position != null && Positions.compare(position, highest) < 0;
  }

  /**
   * Returns whether the log had reached {@code position} in an earlier answer. No position is
   * before all others.
   */
  boolean hasReached(Position position) {
    return highest != null && Positions.compare(highest, position) >= 0;
  }

  void addOpening(TargetMessage.Ready end) {
    addEnd(end);
  }

  void addSigned(String signature, List<String> answerRows, TargetMessage.Ready end) {
    signatures.add(TextHash.of(signature));
    if (answerRows.size() > 1) {
      results.add(hash(answerRows));
    }
    answerRows.forEach(row -> rows.add(TextHash.of(row)));
    addEnd(end);
  }

  void addUnsigned(List<String> answerRows, TargetMessage.Ready end) {
    unsignedSeen = true;
    answerRows.forEach(row -> rows.add(TextHash.of(row)));
    addEnd(end);
  }

  void addFailure(TargetMessage.Failure failure, List<String> answerRows, TargetMessage.Ready end) {
    failures.add(hash(failure));
    endedFailures.add(mix(hash(failure), hash(end)));
    answerRows.forEach(row -> rows.add(TextHash.of(row)));
    addEnd(end);
    failedAtHighest = true;
  }

  private void addEnd(TargetMessage.Ready end) {
    answerCount++;
    ends.add(hash(end));
    if (end.position() != null && Positions.compare(end.position(), highest) > 0) {
      highest = end.position();
      failedAtHighest = false;
    }
  }

  private static long hash(TargetMessage.Ready end) {
    Position position = end.position();
    long hash = mix(TextHash.of(""), end.state().ordinal());
    return position == null ? hash : mix(mix(hash, position.term()), position.index());
  }

  private static long hash(List<String> answerRows) {
    long hash = answerRows.size();
    for (String row : answerRows) {
      hash = mix(hash, TextHash.of(row));
    }
    return hash;
  }

  private static long hash(TargetMessage.Failure failure) {
    return mix(TextHash.of(failure.text()), failure.code().ordinal());
  }

  private static long mix(long hash, long value) {
    return (hash ^ value) * MULTIPLIER;
  }
}
