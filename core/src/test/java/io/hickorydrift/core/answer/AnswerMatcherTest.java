package io.hickorydrift.core.answer;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.answer.AnswerMatcher.Verdict;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.statement.ExpectedAnswer;
import io.hickorydrift.core.statement.FailureCode;
import io.hickorydrift.core.statement.SessionState;
import io.hickorydrift.core.statement.TargetMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against an answer that is taken for that of another command. */
class AnswerMatcherTest {
  private static final SessionState I = SessionState.IDLE;
  private static final SessionState T = SessionState.IN_TRANSACTION;
  private static final SessionState E = SessionState.FAILED;

  private boolean repeatsKnown;
  private final WriteRowEvidence writeRows = new WriteRowEvidence();
  private final AnswerMatcher matcher = new AnswerMatcher(() -> repeatsKnown, writeRows);

  private static TargetMessage row(String text) {
    return new TargetMessage.Row(text);
  }

  private static TargetMessage signed(String signature) {
    return new TargetMessage.Complete(signature, true);
  }

  private static TargetMessage unsigned() {
    return new TargetMessage.Complete("-", false);
  }

  private static TargetMessage failure(FailureCode code) {
    return new TargetMessage.Failure(code, "i-1");
  }

  private static TargetMessage.Ready end(SessionState state, long index) {
    return new TargetMessage.Ready(state, new Position(3, index));
  }

  @BeforeEach
  void open() {
    matcher.opened(end(I, 5));
  }

  /** Feeds messages of which only the last one may end or drop the answer. */
  private Verdict take(ExpectedAnswer expected, TargetMessage... messages) {
    Verdict verdict = Verdict.INCOMPLETE;
    for (TargetMessage message : messages) {
      assertThat(verdict).as("before " + message).isEqualTo(Verdict.INCOMPLETE);
      verdict = matcher.take(message, expected);
    }
    return verdict;
  }

  private void answer(ExpectedAnswer expected, TargetMessage... messages) {
    assertThat(take(expected, messages)).isEqualTo(Verdict.ANSWERED);
  }

  static Stream<Arguments> answersSentAgain() {
    TargetMessage[] read = {row("a"), signed("s1"), end(I, 5)};
    TargetMessage[] write = {signed("s1"), end(I, 6)};
    TargetMessage[] own = {unsigned(), end(I, 5)};
    return Stream.of(
        Arguments.of(ExpectedAnswer.READ, read, ExpectedAnswer.READ),
        Arguments.of(ExpectedAnswer.READ, read, ExpectedAnswer.WRITE),
        Arguments.of(ExpectedAnswer.WRITE, write, ExpectedAnswer.READ),
        Arguments.of(ExpectedAnswer.WRITE, write, ExpectedAnswer.WRITE),
        Arguments.of(ExpectedAnswer.WRITE, write, ExpectedAnswer.BEGIN),
        Arguments.of(ExpectedAnswer.WRITE, write, null),
        Arguments.of(ExpectedAnswer.SETUP, own, ExpectedAnswer.READ),
        Arguments.of(ExpectedAnswer.SETUP, own, ExpectedAnswer.WRITE),
        Arguments.of(ExpectedAnswer.SETUP, own, ExpectedAnswer.BEGIN),
        Arguments.of(ExpectedAnswer.SETUP, own, ExpectedAnswer.REPORT),
        Arguments.of(ExpectedAnswer.SETUP, own, null));
  }

  @ParameterizedTest
  @MethodSource("answersSentAgain")
  void answerThatIsSentAgainIsNotThatOfTheNextCommand(
      ExpectedAnswer first, TargetMessage[] messages, ExpectedAnswer next) {
    answer(first, messages);
    assertThat(take(next, messages)).isEqualTo(Verdict.REPEATED);
    if (next != null && next.isSigned()) {
      answer(next, signed("s2"), end(I, 7));
      assertThat(matcher.outcome()).isEqualTo(signed("s2"));
      assertThat(matcher.rows()).isEmpty();
    }
  }

  @Test
  void rowThatIsSentAgainIsNoRowOfTheNextRead() {
    answer(ExpectedAnswer.READ, row("a"), signed("s1"), end(I, 5));
    assertThat(take(ExpectedAnswer.READ, row("a"), row("b"), signed("s2"), end(I, 5)))
        .isEqualTo(Verdict.UNPROVED);
  }

  /** The row may be that of the write, too, which is not to be told that it has none. */
  @Test
  void rowThatIsSentAgainIsNotTakenForThatOfWriteNorDropped() {
    answer(ExpectedAnswer.WRITE, signed("s0"), end(I, 6));
    answer(ExpectedAnswer.READ, row("a"), signed("s1"), end(I, 6));
    assertThat(take(ExpectedAnswer.WRITE, row("a"), signed("s2"), end(I, 7)))
        .isEqualTo(Verdict.UNPROVED);
  }

  /** Each doubt ends its connection, and the evidence is that of the group. */
  @Test
  void equalRowsOfWritesAreTheirOwnOnceSeveralWritesHadThemWithoutAnyRepeat() {
    assertThat(doubtfulWrites(5)).containsOnly(Verdict.UNPROVED);
    assertThat(doubtfulWrites(2)).containsOnly(Verdict.ANSWERED);
  }

  static Stream<Arguments> signsOfRepeats() {
    return Stream.of(
        Arguments.of(null, List.of(row("a"))),
        Arguments.of(ExpectedAnswer.SETUP, List.of(row("a"))),
        Arguments.of(null, List.of(row("a"), signed("s0"), end(I, 5))),
        Arguments.of(null, List.of(signed("s0"), end(I, 5))),
        Arguments.of(ExpectedAnswer.READ, List.of(row("a"), row("b"), signed("n"), end(I, 5))),
        Arguments.of(ExpectedAnswer.READ, List.of(row("n"), row("n"), signed("n"), end(I, 5))));
  }

  @ParameterizedTest
  @MethodSource("signsOfRepeats")
  void equalRowsOfWritesAreInDoubtIfAnyRepeatMayHaveBeenSeen(
      ExpectedAnswer expected, List<TargetMessage> sign) {
    answer(ExpectedAnswer.READ, row("a"), signed("s0"), end(I, 5));
    for (TargetMessage message : sign) {
      matcher.take(message, expected);
    }
    assertThat(doubtfulWrites(10)).containsOnly(Verdict.UNPROVED);
  }

  private List<Verdict> doubtfulWrites(int count) {
    List<Verdict> verdicts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      AnswerMatcher next = new AnswerMatcher(() -> repeatsKnown, writeRows);
      next.opened(end(I, 5));
      Verdict verdict = Verdict.INCOMPLETE;
      TargetMessage[] read = {row("a"), signed("s1"), end(I, 5)};
      for (TargetMessage message : read) {
        next.take(message, ExpectedAnswer.READ);
      }
      TargetMessage[] write = {row("a"), signed("s2"), end(I, 6)};
      for (TargetMessage message : write) {
        verdict = next.take(message, ExpectedAnswer.WRITE);
      }
      verdicts.add(verdict);
    }
    return verdicts;
  }

  @Test
  void equalResultOfTheSameReadIsServed() {
    answer(ExpectedAnswer.READ, row("a"), signed("s1"), end(I, 5));
    answer(ExpectedAnswer.READ, row("a"), signed("s2"), end(I, 5));
    assertThat(matcher.rows()).containsExactly("a");
  }

  @Test
  void answerThatBrokeOffIsNotGluedToItsRepeat() {
    TargetMessage glued = new TargetMessage.Row("abROW abc", "ab", "ROW ");
    assertThat(take(ExpectedAnswer.READ, glued)).isEqualTo(Verdict.UNPROVED);
  }

  @Test
  void rowsThatComeTwiceAreNotServed() {
    assertThat(take(ExpectedAnswer.READ, row("a"), row("a"), row("b"), signed("s"), end(I, 5)))
        .isEqualTo(Verdict.UNPROVED);
  }

  @Test
  void endThatIsSentAgainIsNotTheEndOfTheNextCommit() {
    answer(ExpectedAnswer.WRITE, signed("s1"), end(I, 6));
    assertThat(take(ExpectedAnswer.WRITE, signed("s2"), end(I, 6))).isEqualTo(Verdict.REPEATED);
    answer(ExpectedAnswer.WRITE, end(I, 7));
    assertThat(matcher.outcome()).isEqualTo(signed("s2"));
    assertThat(matcher.end()).isEqualTo(end(I, 7));
  }

  @Test
  void openingThatIsSentAgainEndsNothing() {
    assertThat(take(ExpectedAnswer.READ, end(I, 5))).isEqualTo(Verdict.REPEATED);
    answer(ExpectedAnswer.READ, row("a"), signed("s1"), end(I, 5));
  }

  @Test
  void failureThatIsSentAgainPromisesNothing() {
    answer(ExpectedAnswer.WRITE, failure(FailureCode.BUSY), end(I, 5));
    assertThat(matcher.mayMistakeFailure()).isTrue();
    assertThat(take(ExpectedAnswer.WRITE, failure(FailureCode.BUSY), end(I, 5)))
        .isEqualTo(Verdict.UNPROVED);
  }

  /** A write is not moved to another connection once the log has moved on. */
  @Test
  void failureOfAnEarlierPositionIsNotMistaken() {
    answer(ExpectedAnswer.WRITE, failure(FailureCode.BUSY), end(I, 5));
    answer(ExpectedAnswer.WRITE, signed("s1"), end(I, 6));
    assertThat(matcher.mayMistakeFailure()).isFalse();
    answer(ExpectedAnswer.WRITE, failure(FailureCode.BUSY), end(I, 6));
    repeatsKnown = true;
    assertThat(matcher.mayMistakeFailure()).isTrue();
  }

  @Test
  void connectionIsLeftAfterReadWhoseFailureMayBeRepeated() {
    answer(ExpectedAnswer.READ, failure(FailureCode.LAGGING), end(I, 5));
    assertThat(matcher.isOutOfStep()).isFalse();
    answer(ExpectedAnswer.READ, failure(FailureCode.LAGGING), end(I, 5));
    assertThat(matcher.mayBeRepeat()).isTrue();
    assertThat(matcher.isOutOfStep()).isTrue();
  }

  @Test
  void equalResultOfSeveralRowsIsServed() {
    answer(ExpectedAnswer.READ, row("a"), row("b"), signed("s1"), end(I, 5));
    answer(ExpectedAnswer.READ, row("a"), row("b"), signed("s2"), end(I, 5));
  }

  @Test
  void failureOfAnEarlierPositionIsIgnored() {
    answer(ExpectedAnswer.WRITE, failure(FailureCode.BUSY), end(I, 5));
    answer(ExpectedAnswer.WRITE, signed("s1"), end(I, 6));
    assertThat(take(ExpectedAnswer.WRITE, failure(FailureCode.BUSY), end(I, 5)))
        .isEqualTo(Verdict.REPEATED);
    answer(ExpectedAnswer.WRITE, signed("s2"), end(I, 7));
  }

  @Test
  void failureInAnotherStateIsIgnored() {
    answer(ExpectedAnswer.BEGIN, unsigned(), end(T, 5));
    answer(ExpectedAnswer.READ, failure(FailureCode.BUSY), end(E, 5));
    answer(ExpectedAnswer.ROLLBACK, unsigned(), end(I, 5));
    assertThat(take(ExpectedAnswer.WRITE, failure(FailureCode.BUSY), end(E, 5)))
        .isEqualTo(Verdict.REPEATED);
  }

  /** Guards against a commit in doubt although its target has said that it rolled back. */
  @Test
  void refusedCommitMayEndItsTransaction() {
    answer(ExpectedAnswer.BEGIN, unsigned(), end(T, 5));
    answer(ExpectedAnswer.COMMIT_OF_WRITES, failure(FailureCode.READ_ONLY), end(I, 5));
    assertThat(matcher.mayBeRepeat()).isFalse();
  }

  @Test
  void refusalOfTargetThatIsNotThePrimaryMayRecur() {
    for (int i = 0; i < 3; i++) {
      answer(ExpectedAnswer.BEGIN, failure(FailureCode.READ_ONLY), end(I, 5));
    }
    assertThat(matcher.isOutOfStep()).isFalse();
    assertThat(take(ExpectedAnswer.READ, failure(FailureCode.READ_ONLY), end(I, 5)))
        .isEqualTo(Verdict.REPEATED);
  }

  @Test
  void beginThatEqualsAnEarlierOneIsMarked() {
    answer(ExpectedAnswer.BEGIN, unsigned(), end(T, 5));
    assertThat(matcher.mayBeRepeat()).isFalse();
    answer(ExpectedAnswer.ROLLBACK, unsigned(), end(I, 5));
    answer(ExpectedAnswer.BEGIN, unsigned(), end(T, 5));
    assertThat(matcher.mayBeRepeat()).isTrue();
    // The command's own answer, if that was a repeat.
    assertThat(take(ExpectedAnswer.REPORT, unsigned(), end(T, 5))).isEqualTo(Verdict.REPEATED);
    answer(ExpectedAnswer.REPORT, row("primary 3"), unsigned(), end(T, 5));
    assertThat(matcher.mayBeRepeat()).isFalse();
  }

  @Test
  void refusalBehindRepeatedBeginIsNotThatOfTheStatement() {
    repeatsKnown = true;
    answer(ExpectedAnswer.BEGIN, unsigned(), end(T, 5));
    answer(ExpectedAnswer.ROLLBACK, unsigned(), end(I, 5));
    answer(ExpectedAnswer.BEGIN, unsigned(), end(T, 5));
    assertThat(take(ExpectedAnswer.WRITE_IN_TRANSACTION, failure(FailureCode.READ_ONLY), end(E, 5)))
        .isEqualTo(Verdict.UNPROVED);
  }

  @Test
  void reportThatEqualsAnEarlierOneIsMarked() {
    answer(ExpectedAnswer.REPORT, row("replica 3"), unsigned(), end(I, 5));
    answer(ExpectedAnswer.REPORT, row("replica 3"), unsigned(), end(I, 5));
    assertThat(matcher.mayBeRepeat()).isTrue();
    answer(ExpectedAnswer.REPORT, row("replica 4"), unsigned(), end(I, 6));
    assertThat(matcher.mayBeRepeat()).isTrue();
  }

  static Stream<List<TargetMessage>> answersOfNoCommand() {
    return Stream.of(
        List.of(row("new")),
        List.of(signed("new"), end(I, 5)),
        List.of(unsigned(), end(I, 5)),
        List.of(failure(FailureCode.BUSY), end(I, 5)),
        List.of(end(I, 6)),
        List.of(new TargetMessage.Unreadable("cut off")));
  }

  @ParameterizedTest
  @MethodSource("answersOfNoCommand")
  void newAnswerThatNoCommandAwaitsIsUnproved(List<TargetMessage> messages) {
    assertThat(take(null, messages.toArray(TargetMessage[]::new))).isEqualTo(Verdict.UNPROVED);
  }

  @Test
  void signatureBehindLostAnswerIsUnproved() {
    assertThat(take(ExpectedAnswer.SETUP, signed("s1"), end(I, 5))).isEqualTo(Verdict.UNPROVED);
  }

  @Test
  void successInAnotherStateIsUnproved() {
    answer(ExpectedAnswer.BEGIN, unsigned(), end(T, 5));
    assertThat(take(ExpectedAnswer.READ, row("a"), signed("s1"), end(I, 6)))
        .isEqualTo(Verdict.UNPROVED);
  }

  @Test
  void rowsThatBeginAgainMoreThanOnceAreNotServed() {
    assertThat(
            take(
                ExpectedAnswer.READ,
                row("a"),
                row("b"),
                row("a"),
                row("a"),
                row("b"),
                row("c"),
                signed("s"),
                end(I, 5)))
        .isEqualTo(Verdict.UNPROVED);
  }

  @Test
  void rowsOfWriteThatBeginAgainAreNotServed() {
    assertThat(take(ExpectedAnswer.WRITE, row("a"), row("a"), signed("s"), end(I, 6)))
        .isEqualTo(Verdict.UNPROVED);
  }

  @Test
  void rowThatIsSentAgainIsNoRowOfWriteWithRows() {
    answer(ExpectedAnswer.READ, row("a"), signed("s1"), end(I, 5));
    assertThat(take(ExpectedAnswer.WRITE, row("a"), row("b"), signed("s2"), end(I, 6)))
        .isEqualTo(Verdict.UNPROVED);
  }

  /** Guards against a commit that its session's later reads do not wait for. */
  @Test
  void endWithoutPositionThatIsSentAgainIsNotTheEndOfCommit() {
    answer(ExpectedAnswer.SETUP, unsigned(), new TargetMessage.Ready(I, null));
    assertThat(take(ExpectedAnswer.WRITE, signed("s1"), new TargetMessage.Ready(I, null)))
        .isEqualTo(Verdict.REPEATED);
    answer(ExpectedAnswer.WRITE, end(I, 6));
    assertThat(matcher.end()).isEqualTo(end(I, 6));
  }

  /** Guards against an old report that counts as new because of the end of another answer. */
  @Test
  void rowOfReportThatIsSentAgainIsMarked() {
    answer(ExpectedAnswer.REPORT, row("replica 3"), unsigned(), end(I, 5));
    // Repeats stand for both; the setup's own answer ends the repeated row.
    answer(ExpectedAnswer.SETUP, unsigned(), end(I, 5));
    answer(ExpectedAnswer.REPORT, row("replica 3"), unsigned(), end(I, 6));
    assertThat(matcher.mayBeRepeat()).isTrue();
  }

  /** Guards against a promise that nothing ran, made up of parts of two earlier answers. */
  @Test
  void failureThatIsSentAgainBeforeTheNextCommandIsNotItsOwn() {
    answer(ExpectedAnswer.READ, failure(FailureCode.BUSY), end(I, 5));
    answer(ExpectedAnswer.READ, row("a"), signed("s1"), end(I, 6));
    assertThat(take(null, failure(FailureCode.BUSY))).isEqualTo(Verdict.REPEATED);
    assertThat(take(ExpectedAnswer.WRITE, end(I, 6))).isEqualTo(Verdict.REPEATED);
    answer(ExpectedAnswer.WRITE, signed("s2"), end(I, 7));
  }
}
