package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.answer.AnswerMatcher;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.position.Positions;
import io.hickorydrift.core.statement.ExpectedAnswer;
import io.hickorydrift.core.statement.FailureCode;
import io.hickorydrift.core.statement.PreparedNames;
import io.hickorydrift.core.statement.PreparedStatement;
import io.hickorydrift.core.statement.SessionState;
import io.hickorydrift.core.statement.TargetCommand;
import io.hickorydrift.core.statement.TargetMessage;
import io.hickorydrift.proxy.net.ChannelHandler;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.net.TcpChannel;
import io.hickorydrift.proxy.port.TargetCodec;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A connection to a target on behalf of one organisation. Commands are pipelined and answered in
 * order; {@link AnswerMatcher} tells their answers from repeats.
 *
 * <p>Invariant: each command ends exactly once; a connection with a missing, late or malformed
 * answer, or one that may belong to another command, is closed and never reused. Thread safety:
 * confined to the loop's thread.
 */
final class TargetConnection implements ChannelHandler {
  // Connecting takes a few milliseconds, and longer only if the target is partitioned from
  // this instance or unreachable.
  private static final long CONNECT_TIMEOUT_NANOS = 300_000_000L;
  // Longer than most statements run, since one that counts as failed may still be running.
  private static final long RESYNCHRONIZE_TIMEOUT_NANOS = 350_000_000L;
  // Bounds the memory for what was received: about 200 bytes for an answer.
  private static final int MAX_ANSWERS = 1_000;

  /** A command that awaits its answer. */
  private static final class PendingCommand {
    private final TargetCommand command;
    private final long deadlineNanos;
    private final Consumer<TargetReply> onReply;
    private long sentNanos;
    private boolean sent;

    private PendingCommand(
        TargetCommand command, long sentNanos, long deadlineNanos, Consumer<TargetReply> onReply) {
      this.command = command;
      this.sentNanos = sentNanos;
      this.deadlineNanos = deadlineNanos;
      this.onReply = onReply;
    }
  }

  private final EventLoop loop;
  private final TargetCodec codec;
  private final TargetState target;
  private final String organisation;
  private final TargetPool pool;
  private final TcpChannel channel;
  private final int number;
  private final AnswerMatcher matcher;
  private final long openDeadlineNanos;
  private final long connectDeadlineNanos;
  private boolean connected;
  private final ArrayDeque<PendingCommand> pendingCommands = new ArrayDeque<>();
  private final Map<String, String> sessionValues = new HashMap<>();
  private final PreparedNames preparedNames = new PreparedNames();
  private boolean open;
  private long lastReceivedNanos;

  TargetConnection(
      EventLoop loop,
      TargetCodec codec,
      TargetState target,
      String organisation,
      TargetPool pool,
      long openTimeoutMs,
      int number) {
    this.loop = loop;
    this.codec = codec;
    this.target = target;
    matcher = new AnswerMatcher(target::repeatsAnswers, target.writeRows());
    this.organisation = organisation;
    this.pool = pool;
    this.number = number;
    openDeadlineNanos = loop.nowNanos() + TimeUnit.MILLISECONDS.toNanos(openTimeoutMs);
    connectDeadlineNanos = loop.nowNanos() + CONNECT_TIMEOUT_NANOS;
    channel = TcpChannel.connect(loop, target.entry().address(), this);
  }

  TargetState target() {
    return target;
  }

  /** Returns the pool that the connection belongs to. */
  TargetPool pool() {
    return pool;
  }

  /** Returns the number of the connection among those of its pool, for the log. */
  int number() {
    return number;
  }

  String organisation() {
    return organisation;
  }

  boolean isOpen() {
    return open && !channel.isClosed();
  }

  SessionState state() {
    return matcher.state();
  }

  /**
   * Returns whether no further command may be sent: there were too many answers to remember them
   * all, or an answer that no command awaits may come at any time.
   */
  boolean isUsedUp() {
    return matcher.answerCount() >= MAX_ANSWERS || isOutOfStep() && target.repeatsAnswers();
  }

  /** Returns whether the own answer to a command that counts as failed may still come. */
  boolean isOutOfStep() {
    return matcher.isOutOfStep();
  }

  /**
   * Sends a command of the instance's own and then returns the connection to its pool: an answer
   * that still comes precedes that command's, and closes the connection.
   */
  void resynchronize() {
    probe(
        loop.nowNanos() + RESYNCHRONIZE_TIMEOUT_NANOS,
        reply -> {
          if (reply.ok()) {
            matcher.backInStep();
          }
          pool.release(this);
        });
  }

  /** Returns whether the failure of a statement sent now might be that of an earlier one. */
  boolean mayMistakeFailure() {
    return matcher.mayMistakeFailure();
  }

  /** Returns whether a row of a write sent now might be one that was received before. */
  boolean mayMistakeRowsOfWrite() {
    return matcher.mayMistakeRowsOfWrite();
  }

  /** Returns the time at which data was last received from the target on this connection. */
  long lastReceivedNanos() {
    return lastReceivedNanos;
  }

  /** Returns whether any commands await their answers. */
  boolean hasPendingCommands() {
    return !pendingCommands.isEmpty();
  }

  @Override
  public void connected() {
    connected = true;
    codec.writeOpen(channel.out(), target.entry().group(), organisation, target.entry().id());
  }

  /** Sends {@code command}; {@code onReply} is called exactly once. */
  void run(TargetCommand command, long deadlineNanos, Consumer<TargetReply> onReply) {
    if (channel.isClosed()) {
      onReply.accept(lostReply("connection closed", loop.nowNanos()));
      return;
    }
    boolean waits = waitsForPlace();
    PendingCommand pending = new PendingCommand(command, loop.nowNanos(), deadlineNanos, onReply);
    pendingCommands.addLast(pending);
    // A report takes no slot of the target.
    boolean report = command.expectedAnswer() == ExpectedAnswer.REPORT;
    if (!waits && (report || pool.dispatch().maySend(this))) {
      send(pending);
    }
  }

  /** Returns whether commands wait for a place in the target's window. */
  private boolean waitsForPlace() {
    PendingCommand last = pendingCommands.peekLast();
    return last != null && !last.sent;
  }

  /** Sends the commands that have waited for a place. */
  void sendWaiting() {
    for (PendingCommand pending : pendingCommands) {
      if (!pending.sent) {
        pending.sentNanos = loop.nowNanos();
        send(pending);
      }
    }
  }

  private void send(PendingCommand pending) {
    pending.sent = true;
    codec.writeCommand(channel.out(), pending.command);
  }

  /**
   * Sets the session values to {@code wanted}; sends nothing if they already match. Commands that
   * are sent after this call follow those that set the values; the connection closes if the target
   * refuses one of these.
   */
  void applySessionValues(Map<String, String> wanted, long deadlineNanos) {
    applySessionValues(wanted, deadlineNanos, () -> {});
  }

  /**
   * Sets the session values as {@link #applySessionValues(Map, long)} does, and calls {@code
   * onAnswered} once the target has answered; the connection is closed then unless they are set.
   */
  void applySessionValues(Map<String, String> wanted, long deadlineNanos, Runnable onAnswered) {
    if (wanted.equals(sessionValues)) {
      onAnswered.run();
      return;
    }
    List<TargetCommand> commands = new ArrayList<>();
    if (!wanted.keySet().containsAll(sessionValues.keySet())) {
      sessionValues.clear();
      preparedNames.clear();
      commands.add(new TargetCommand.Reset());
    }
    wanted.forEach(
        (name, value) -> {
          if (!value.equals(sessionValues.put(name, value))) {
            commands.add(new TargetCommand.SetValue(name, value));
          }
        });
    TargetCommand last = commands.remove(commands.size() - 1);
    commands.forEach(each -> run(each, deadlineNanos, this::closeUnlessOk));
    run(
        last,
        deadlineNanos,
        reply -> {
          closeUnlessOk(reply);
          onAnswered.run();
        });
  }

  /**
   * Prepares {@code statement} at the target under its shared name, unless already prepared. If the
   * target refuses, an execution that was sent behind it does not run: no other statement has that
   * name.
   */
  void prepare(PreparedStatement statement, long deadlineNanos) {
    String name = statement.sharedName();
    if (preparedNames.use(name)) {
      return;
    }
    String leastRecent = preparedNames.add(name);
    if (leastRecent != null) {
      // Harmless if refused: the name still denotes the same statement.
      run(new TargetCommand.ClosePrepared(leastRecent), deadlineNanos, reply -> {});
    }
    run(
        new TargetCommand.Prepare(name, statement),
        deadlineNanos,
        reply -> {
          if (!reply.ok()) {
            preparedNames.remove(name);
          }
        });
  }

  /**
   * Checks that the target still answers; resets the session values as a side effect. The
   * connection is closed if the target refuses, since it may still hold them.
   */
  void probe(long deadlineNanos, Consumer<TargetReply> onReply) {
    sessionValues.clear();
    preparedNames.clear();
    run(
        new TargetCommand.Reset(),
        deadlineNanos,
        reply -> {
          closeUnlessOk(reply);
          onReply.accept(reply);
        });
  }

  private void closeUnlessOk(TargetReply reply) {
    if (!reply.ok()) {
      close("session values refused");
    }
  }

  @Override
  public void received(ByteBuffer in) {
    lastReceivedNanos = loop.nowNanos();
    while (!channel.isClosed()) {
      TargetMessage message = codec.decode(in);
      if (message == null) {
        return;
      }
      handle(message);
    }
  }

  @Override
  public boolean mayCompleteMessage(ByteBuffer received) {
    return codec.mayCompleteMessage(received);
  }

  private void handle(TargetMessage message) {
    if (!open) {
      handleFirst(message);
      return;
    }
    PendingCommand current = pendingCommands.peekFirst();
    boolean awaited = current != null && current.sent;
    ExpectedAnswer expected = awaited ? current.command.expectedAnswer() : null;
    AnswerMatcher.Verdict verdict = matcher.take(message, expected);
    if (verdict == AnswerMatcher.Verdict.ANSWERED) {
      finish();
    } else if (verdict != AnswerMatcher.Verdict.INCOMPLETE) {
      String id = awaited ? current.command.callerId() : TargetCommand.NO_CALLER;
      String finding = matcher.finding();
      pool.answerObserver().onUnexpected(this, id, expected, message, verdict, finding);
      if (verdict == AnswerMatcher.Verdict.REPEATED) {
        target.recordRepeatedAnswer();
      } else {
        close("answer not proved: " + finding);
      }
    }
  }

  private void handleFirst(TargetMessage message) {
    if (message instanceof TargetMessage.Ready ready) {
      open = true;
      matcher.opened(ready);
      target.recordApplied(ready.position());
      pool.onOpened(this);
    } else if (message instanceof TargetMessage.Failure failure) {
      channel.close();
      pool.onOpenFailed(this, failure.code(), failure.text());
    } else {
      close("unexpected message");
    }
  }

  private void finish() {
    PendingCommand current = pendingCommands.removeFirst();
    target.recordApplied(matcher.end().position());
    recordAnswer(current);
    TargetReply reply = reply(current);
    if (reply.ok() && reply.mayBeRepeat() && needsConfirmation(current.command, reply)) {
      confirmBegin(current, reply);
    } else {
      current.onReply.accept(reply);
    }
    if (pendingCommands.isEmpty()) {
      pool.dispatch().onQuiet(this);
    }
  }

  /**
   * Returns whether {@code command} is a begin that may not have succeeded: targets that are not
   * known to repeat answers begin no transaction at a position that they have not reached.
   */
  private boolean needsConfirmation(TargetCommand command, TargetReply success) {
    return command instanceof TargetCommand.Begin begin
        && (target.repeatsAnswers()
            || begin.atLeast() != null && !Positions.reaches(success.position(), begin.atLeast()));
  }

  private TargetReply reply(PendingCommand current) {
    boolean ok = matcher.outcome() instanceof TargetMessage.Complete;
    TargetMessage.Failure failure = ok ? null : (TargetMessage.Failure) matcher.outcome();
    return new TargetReply(
        matcher.rows(),
        ok ? ((TargetMessage.Complete) matcher.outcome()).signature() : null,
        ok ? null : failure.code(),
        ok ? "" : failure.text(),
        matcher.state(),
        matcher.end().position(),
        matcher.mayBeRepeat(),
        current.sentNanos);
  }

  /**
   * Delivers a success that may be a repeat of an earlier begin's once a report has shown that the
   * session is in a transaction: a statement that is sent without one would run outside it. The
   * position is that of the report: an earlier begin's lacks commits that were made since.
   */
  private void confirmBegin(PendingCommand begin, TargetReply success) {
    run(
        new TargetCommand.Report(),
        begin.deadlineNanos,
        report -> {
          if (report.ok() && !report.mayBeRepeat()) {
            begin.onReply.accept(success.at(report.position()));
          } else {
            close("begin not confirmed");
            begin.onReply.accept(lostReply("begin not confirmed", begin.sentNanos));
          }
        });
  }

  private void recordAnswer(PendingCommand answered) {
    boolean statement =
        answered.command instanceof TargetCommand.Run
            || answered.command instanceof TargetCommand.Execute;
    if (statement) {
      boolean busy =
          matcher.outcome() instanceof TargetMessage.Failure failure
              && failure.code() == FailureCode.BUSY;
      long nanos = loop.nowNanos() - answered.sentNanos;
      pool.dispatch().recordAnswer(this, busy, nanos);
    }
  }

  /** Closes the connection if it was not opened, or a command not answered, by its deadline. */
  void checkDeadline(long nowNanos) {
    if (!open && openDeadlineNanos - nowNanos < 0) {
      close("not open in time");
      return;
    }
    if (!connected && connectDeadlineNanos - nowNanos < 0) {
      close("not connected in time");
      return;
    }
    PendingCommand oldest = pendingCommands.peekFirst();
    if (oldest != null && oldest.deadlineNanos - nowNanos < 0) {
      close("no answer in time");
    }
  }

  /**
   * Closes the connection; commands in flight get a reply that is {@linkplain TargetReply#lost
   * lost}.
   */
  void close(String reason) {
    if (!channel.isClosed()) {
      channel.close();
      closed(reason);
    }
  }

  @Override
  public void closed(String reason) {
    if (!open) {
      pool.onOpenFailed(this, null, reason);
      return;
    }
    pool.onClosed(this);
    while (!pendingCommands.isEmpty()) {
      PendingCommand current = pendingCommands.removeFirst();
      current.onReply.accept(
          current.sent ? lostReply(reason, current.sentNanos) : notSentReply(current.sentNanos));
    }
  }

  /** Returns the reply to a command that was never sent: the target ends what was open before. */
  private static TargetReply notSentReply(long nanos) {
    return new TargetReply(
        List.of(),
        null,
        FailureCode.ABORTED,
        "not sent: no slot in time",
        null,
        null,
        false,
        nanos);
  }

  private static TargetReply lostReply(String reason, long sentNanos) {
    return new TargetReply(List.of(), null, null, reason, null, null, false, sentNanos);
  }
}
