package io.hickorydrift.core.answer;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.answer.AnswerMatcher.Verdict;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.statement.ExpectedAnswer;
import io.hickorydrift.core.statement.FailureCode;
import io.hickorydrift.core.statement.SessionState;
import io.hickorydrift.core.statement.TargetMessage;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Guards against an answer of another command, for any order in which a target sends answers and
 * parts of answers again.
 */
class AnswerRepeatPropertyTest {
  private static final int COMMANDS = 60;

  /** What a target answers to one command. */
  private record Truth(ExpectedAnswer kind, List<TargetMessage> messages) {
    boolean isSuccess() {
      return messages.stream().noneMatch(TargetMessage.Failure.class::isInstance);
    }

    boolean holds(TargetMessage message) {
      return messages.contains(message);
    }

    List<String> rows() {
      return messages.stream()
          .filter(TargetMessage.Row.class::isInstance)
          .map(each -> ((TargetMessage.Row) each).text())
          .toList();
    }
  }

  /** A target that runs commands in order and sends what it has sent before at any later time. */
  private static final class RepeatingTarget {
    private final Random random;
    private final double share;
    private final ArrayDeque<TargetMessage> sent = new ArrayDeque<>();
    private final List<List<TargetMessage>> history = new ArrayList<>();
    private SessionState state = SessionState.IDLE;
    private boolean primary = true;
    private long term = 3;
    private long index = 5;
    private int count;

    private RepeatingTarget(Random random, double share) {
      this.random = random;
      this.share = share;
      history.add(List.of(end()));
    }

    private TargetMessage.Ready end() {
      return new TargetMessage.Ready(state, new Position(term, index));
    }

    private void moveOn() {
      if (random.nextInt(4) == 0) {
        index++;
      }
      if (random.nextInt(20) == 0) {
        primary = !primary;
        term++;
        index++;
      }
    }

    private Truth run(ExpectedAnswer kind) {
      moveOn();
      List<TargetMessage> messages = new ArrayList<>();
      FailureCode failure = failure(kind);
      if (failure != null) {
        if (state == SessionState.IN_TRANSACTION && failure != FailureCode.BUSY) {
          state = SessionState.FAILED;
        }
        messages.add(new TargetMessage.Failure(failure, "i-1"));
      } else {
        state = kind.stateAfter(state);
        index += kind.advancesLog() ? 1 : 0;
        addRows(kind, messages);
        messages.add(
            kind.isSigned()
                ? new TargetMessage.Complete("s" + ++count, true)
                : new TargetMessage.Complete("-", false));
      }
      messages.add(end());
      return new Truth(kind, List.copyOf(messages));
    }

    private void addRows(ExpectedAnswer kind, List<TargetMessage> messages) {
      int rows = kind == ExpectedAnswer.READ ? 1 + random.nextInt(2) : 0;
      for (int i = 0; i < rows; i++) {
        messages.add(new TargetMessage.Row("r" + ++count));
      }
      if (kind == ExpectedAnswer.REPORT) {
        messages.add(new TargetMessage.Row((primary ? "primary " : "replica ") + index));
      }
    }

    private FailureCode failure(ExpectedAnswer kind) {
      boolean needsPrimary = kind == ExpectedAnswer.WRITE || kind == ExpectedAnswer.BEGIN;
      if (needsPrimary && !primary) {
        return FailureCode.READ_ONLY;
      }
      boolean mayFail = kind != ExpectedAnswer.SETUP && kind != ExpectedAnswer.ROLLBACK;
      return mayFail && random.nextInt(8) == 0 ? FailureCode.BUSY : null;
    }

    private void send(Truth truth) {
      repeat();
      sent.addAll(truth.messages());
      history.add(truth.messages());
    }

    /** Sends none, one or several earlier answers, or parts of them, again. */
    private void repeat() {
      while (random.nextDouble() < share) {
        List<TargetMessage> messages = history.get(random.nextInt(history.size()));
        switch (random.nextInt(4)) {
          case 0:
            sent.add(messages.get(0));
            break;
          case 1:
            sent.add(messages.get(messages.size() - 1));
            break;
          default:
            sent.addAll(messages);
        }
      }
    }
  }

  private final List<Truth> answered = new ArrayList<>();

  @Property(tries = 2_000, seed = "45", shrinking = ShrinkingMode.OFF)
  void eachCommandGetsItsOwnAnswerOrNone(@ForAll long seed) {
    play(seed, 0.3);
  }

  @Property(tries = 200, seed = "45", shrinking = ShrinkingMode.OFF)
  void targetThatRepeatsNothingIsServedThroughout(@ForAll long seed) {
    answered.clear();
    play(seed, 0);
    // Connections end early only behind failures that equal an earlier one.
    assertThat(answered).isNotEmpty();
  }

  private void play(long seed, double share) {
    Random random = new Random(seed);
    RepeatingTarget target = new RepeatingTarget(random, share);
    AnswerMatcher matcher = new AnswerMatcher(() -> true, new WriteRowEvidence());
    matcher.opened(target.end());
    for (int i = 0; i < COMMANDS; i++) {
      if (random.nextBoolean() && !drain(target, matcher)) {
        return;
      }
      ExpectedAnswer kind = draw(random, matcher.state());
      if (!runOne(target, matcher, kind) || matcher.isOutOfStep()) {
        return;
      }
    }
  }

  /** Receives what comes while no command awaits an answer. */
  private static boolean drain(RepeatingTarget target, AnswerMatcher matcher) {
    target.repeat();
    while (!target.sent.isEmpty()) {
      Verdict verdict = matcher.take(target.sent.poll(), null);
      assertThat(verdict).isNotEqualTo(Verdict.ANSWERED);
      if (verdict == Verdict.UNPROVED) {
        return false;
      }
    }
    return true;
  }

  private boolean runOne(RepeatingTarget target, AnswerMatcher matcher, ExpectedAnswer kind) {
    Truth truth = target.run(kind);
    target.send(truth);
    if (!receive(target, matcher, truth)) {
      return false;
    }
    boolean ok = matcher.outcome() instanceof TargetMessage.Complete;
    if (kind == ExpectedAnswer.BEGIN && ok && matcher.mayBeRepeat()) {
      Truth report = target.run(ExpectedAnswer.REPORT);
      target.send(report);
      if (!receive(target, matcher, report)
          || matcher.mayBeRepeat()
          || !(matcher.outcome() instanceof TargetMessage.Complete)) {
        return false;
      }
    }
    if (kind == ExpectedAnswer.BEGIN && ok) {
      assertThat(truth.isSuccess()).as("a begin that was refused").isTrue();
    }
    answered.add(truth);
    return true;
  }

  /** Receives until the command is answered; returns false if the connection has to be closed. */
  private static boolean receive(RepeatingTarget target, AnswerMatcher matcher, Truth truth) {
    while (!target.sent.isEmpty()) {
      Verdict verdict = matcher.take(target.sent.poll(), truth.kind());
      if (verdict == Verdict.UNPROVED) {
        return false;
      }
      if (verdict == Verdict.ANSWERED) {
        check(matcher, truth);
        return true;
      }
    }
    // The answer was taken for an earlier command's, or a part of it for a repeat.
    return false;
  }

  private static void check(AnswerMatcher matcher, Truth truth) {
    boolean ok = matcher.outcome() instanceof TargetMessage.Complete;
    if (ok && truth.kind().isSigned()) {
      assertThat(truth.holds(matcher.outcome())).as("signature of " + truth).isTrue();
      assertThat(matcher.rows()).isEqualTo(truth.rows());
      if (truth.kind().advancesLog()) {
        assertThat(matcher.end()).isEqualTo(truth.messages().get(truth.messages().size() - 1));
      }
    } else if (!ok && truth.kind().isSigned() && !matcher.mayBeRepeat()) {
      assertThat(truth.isSuccess()).as("failure in place of " + truth).isFalse();
    }
  }

  private static ExpectedAnswer draw(Random random, SessionState state) {
    List<ExpectedAnswer> kinds =
        state == SessionState.IDLE
            ? List.of(
                ExpectedAnswer.READ,
                ExpectedAnswer.WRITE,
                ExpectedAnswer.BEGIN,
                ExpectedAnswer.SETUP,
                ExpectedAnswer.REPORT)
            : state == SessionState.FAILED
                ? List.of(ExpectedAnswer.ROLLBACK)
                : List.of(
                    ExpectedAnswer.READ,
                    ExpectedAnswer.WRITE_IN_TRANSACTION,
                    ExpectedAnswer.COMMIT_OF_WRITES,
                    ExpectedAnswer.SETUP,
                    ExpectedAnswer.ROLLBACK);
    return kinds.get(random.nextInt(kinds.size()));
  }
}
