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
  private final Set<Long> ends = new HashSet<>();
  private final Set<Long> unsigned = new HashSet<>();
  private final Set<Long> failures = new HashSet<>();
  private Position highest;
  private int answerCount;

  int answerCount() {
    return answerCount;
  }

  boolean hasSignature(String signature) {
    return signatures.contains(TextHash.of(signature));
  }

  boolean hasRow(String row) {
    return rows.contains(TextHash.of(row));
  }

  boolean hasEnd(TargetMessage.Ready end) {
    return ends.contains(hash(end));
  }

  boolean hasUnsigned(List<String> answerRows, TargetMessage.Ready end) {
    return unsigned.contains(hash(answerRows, end));
  }

  boolean hasFailure(TargetMessage.Failure failure, TargetMessage.Ready end) {
    return failures.contains(hash(failure, end));
  }

  /** Returns whether the log was longer than at {@code position} in an earlier answer. */
  boolean isPast(Position position) {
    return position != null && Positions.compare(position, highest) < 0;
  }

  /** Returns whether the log had reached {@code position} in an earlier answer. */
  boolean hasReached(Position position) {
    return position != null && highest != null && Positions.reaches(highest, position);
  }

  void addOpening(TargetMessage.Ready end) {
    addEnd(end);
  }

  void addSigned(String signature, List<String> answerRows, TargetMessage.Ready end) {
    signatures.add(TextHash.of(signature));
    answerRows.forEach(row -> rows.add(TextHash.of(row)));
    addEnd(end);
  }

  void addUnsigned(List<String> answerRows, TargetMessage.Ready end) {
    unsigned.add(hash(answerRows, end));
    answerRows.forEach(row -> rows.add(TextHash.of(row)));
    addEnd(end);
  }

  void addFailure(TargetMessage.Failure failure, List<String> answerRows, TargetMessage.Ready end) {
    failures.add(hash(failure, end));
    answerRows.forEach(row -> rows.add(TextHash.of(row)));
    addEnd(end);
  }

  private void addEnd(TargetMessage.Ready end) {
    answerCount++;
    ends.add(hash(end));
    if (end.position() != null) {
      highest = Positions.later(highest, end.position());
    }
  }

  private static long hash(TargetMessage.Ready end) {
    Position position = end.position();
    long hash = mix(TextHash.of(""), end.state().ordinal());
    return position == null ? hash : mix(mix(hash, position.term()), position.index());
  }

  private static long hash(List<String> answerRows, TargetMessage.Ready end) {
    long hash = hash(end);
    for (String row : answerRows) {
      hash = mix(hash, TextHash.of(row));
    }
    return hash;
  }

  private static long hash(TargetMessage.Failure failure, TargetMessage.Ready end) {
    return mix(mix(hash(end), failure.code().ordinal()), TextHash.of(failure.text()));
  }

  private static long mix(long hash, long value) {
    return (hash ^ value) * MULTIPLIER;
  }
}
