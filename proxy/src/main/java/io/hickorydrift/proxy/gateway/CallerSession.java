package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.Route;
import io.hickorydrift.core.statement.CallerMessage;
import io.hickorydrift.core.statement.FailureCode;
import io.hickorydrift.core.statement.SessionSettings;
import io.hickorydrift.core.statement.SessionState;
import io.hickorydrift.core.statement.Statement;
import io.hickorydrift.core.statement.StatementKind;
import io.hickorydrift.proxy.net.ChannelHandler;
import io.hickorydrift.proxy.net.TcpChannel;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A caller's session; each connection is one session. Statements run one at a time, in order of
 * arrival. A connection whose caller has closed its sending direction is closed after the answers
 * to the requests received before.
 *
 * <p>Invariant: nothing runs after the end of the session, whatever its caller has sent ahead.
 * Thread safety: confined to the loop's thread.
 */
final class CallerSession implements ChannelHandler {
  // A caller that follows the protocol sends one statement and waits for its answer. The requests
  // of one that sends more wait in its connection.
  private static final int MAX_QUEUED_STATEMENTS = 64;
  private static final int MAX_QUEUED_BYTES = 64 * 1024;
  // Bounds the work for one connection in an iteration of the event loop. With 64 KB, iterations
  // took half a second while 60 callers sent requests without reading the answers.
  private static final int MAX_UNSENT_BYTES = 8 * 1024;
  // Callers give up when a session takes 2 s to open.
  private static final long OPEN_TIMEOUT_NANOS = 5_000_000_000L;

  private record Queued(CallerMessage message, int bytes) {}

  private final GatewayContext context;
  private final TcpChannel channel;
  private final Consumer<CallerSession> onEnd;
  private final SessionData data;
  private final ArrayDeque<Queued> queued = new ArrayDeque<>();
  private final long acceptedNanos;
  private int queuedBytes;
  // Whether requests may wait in the connection.
  private boolean backlogged;
  private String openingRefusal;
  private String database;
  private String credential;
  private SessionState state = SessionState.IDLE;
  private OpenTransaction transaction;
  // The statement outside a transaction that runs, or null.
  private SingleStatement single;
  private boolean running;
  private boolean closeAfterAnswer;
  private boolean ended;
  // Whether part of the bytes that arrived last has not been handled.
  private boolean hasUnreadInput;
  private long receivedNanos;
  private long answeredNanos;

  CallerSession(GatewayContext context, TcpChannel channel, Consumer<CallerSession> onEnd) {
    this.context = context;
    this.channel = channel;
    this.onEnd = onEnd;
    data = new SessionData(new SessionSettings(context.sessionTexts()));
    acceptedNanos = context.loop().nowNanos();
  }

  @Override
  public void received(ByteBuffer in) {
    backlogged = false;
    while (!hasEnded()) {
      if (queued.size() >= MAX_QUEUED_STATEMENTS || queuedBytes >= MAX_QUEUED_BYTES) {
        backlogged = true;
        channel.pauseReading();
        return;
      }
      int start = in.position();
      CallerMessage message = context.callerCodec().decode(in);
      hasUnreadInput = in.hasRemaining();
      if (message == null) {
        return;
      }
      queued.addLast(new Queued(message, in.position() - start));
      queuedBytes += in.position() - start;
      handleNext();
    }
    in.position(in.limit());
  }

  private boolean hasEnded() {
    return ended || channel.isClosed();
  }

  @Override
  public boolean mayCompleteMessage(ByteBuffer received) {
    return context.callerCodec().mayCompleteMessage(received);
  }

  private void handleNext() {
    while (!running && !queued.isEmpty() && !hasEnded()) {
      if (channel.unsentBytes() > MAX_UNSENT_BYTES) {
        // The caller reads more slowly than it sends.
        channel.notifyWhenSent();
        return;
      }
      receivedNanos = context.loop().nowNanos();
      Queued next = queued.pollFirst();
      queuedBytes -= next.bytes;
      dispatch(next.message);
    }
    if (running || hasEnded()) {
      return;
    }
    if (backlogged) {
      channel.resumeReading();
    } else if (channel.hasRemoteEnded()) {
      channel.closeAfterFlush();
      ended();
    }
  }

  @Override
  public void sent() {
    handleNext();
  }

  @Override
  public boolean continuesAfterRemoteEnd() {
    return hasUnansweredRequests();
  }

  private boolean hasUnansweredRequests() {
    return running || backlogged || !queued.isEmpty();
  }

  private void dispatch(CallerMessage message) {
    if (message instanceof CallerMessage.Open open) {
      openSession(open);
    } else if (message instanceof CallerMessage.End) {
      end("caller ended");
    } else if (message instanceof CallerMessage.Unreadable unreadable) {
      handleUnreadable(unreadable);
    } else if (database == null) {
      refuseAndClose(FailureCode.MALFORMED, "session not open");
    } else if (message instanceof CallerMessage.Run run) {
      handle(run.statement());
    }
  }

  /** Refuses the session when the caller asks to open it. */
  void refuseOpening(String reason) {
    openingRefusal = reason;
  }

  private void openSession(CallerMessage.Open open) {
    if (openingRefusal != null) {
      refuseAndClose(FailureCode.BUSY, openingRefusal);
      return;
    }
    if (database != null || open.database().isEmpty()) {
      refuseAndClose(FailureCode.MALFORMED, "session already open or database missing");
      return;
    }
    running = true;
    context
        .openings()
        .whenServable(
            open,
            () -> {
              running = false;
              if (!hasEnded()) {
                finishOpening(open);
                handleNext();
              }
            });
  }

  private void finishOpening(CallerMessage.Open open) {
    SessionOpenings.Refusal refusal = context.openings().refusal(open);
    if (refusal != null) {
      refuseAndClose(refusal.code(), refusal.reason());
      return;
    }
    database = open.database();
    credential = open.credential();
    answeredNanos = receivedNanos;
    context.callerCodec().writeReady(channel.out(), SessionState.IDLE, null);
    context.openings().checkLink(database);
  }

  private void handleUnreadable(CallerMessage.Unreadable unreadable) {
    if (database == null || unreadable.code() == FailureCode.TOO_LARGE) {
      refuseAndClose(unreadable.code(), unreadable.reason());
    } else {
      failMalformed(unreadable.reason());
    }
  }

  private void refuseAndClose(FailureCode code, String reason) {
    context.requestLog().logSessionRefusal(code, reason, context.declarations().current());
    context.callerCodec().writeFailure(channel.out(), code, reason);
    channel.closeAfterFlush();
    ended();
  }

  private void handle(Statement statement) {
    if (state == SessionState.FAILED) {
      handleFailed(statement);
      return;
    }
    switch (statement.kind()) {
      case SET_VALUE:
        answerSettingsChange(data.settings().setValue(statement.name(), statement.argument()));
        break;
      case PREPARE:
        answerSettingsChange(
            data.settings().prepare(statement.name(), statement.writes(), statement.argument()));
        break;
      case CLOSE_PREPARED:
        data.settings().closePrepared(statement.name());
        answer(StatementOutcome.done(state));
        break;
      case BEGIN:
      case BEGIN_READ_ONLY:
        begin(statement);
        break;
      case COMMIT:
      case ROLLBACK:
        endTransaction(statement);
        break;
      case MALFORMED:
        failMalformed("malformed statement");
        break;
      case TOO_LARGE:
        fail(FailureCode.TOO_LARGE, "statement too large");
        break;
      default:
        execute(statement);
    }
  }

  /** Answers a statement that changes the session only; a refused one leaves it as it was. */
  private void answerSettingsChange(FailureCode refusal) {
    if (refusal == null) {
      answer(StatementOutcome.done(state));
    } else {
      String reason =
          refusal == FailureCode.TOO_LARGE
              ? "session holds too many or too long values and prepared statements"
              : "sessions of this instance hold too much";
      answer(StatementOutcome.failed(refusal, reason, state));
    }
  }

  private void handleFailed(Statement statement) {
    if (statement.kind() == StatementKind.ROLLBACK) {
      answer(StatementOutcome.done(SessionState.IDLE));
    } else if (statement.kind() == StatementKind.COMMIT) {
      answer(
          StatementOutcome.failed(
              FailureCode.ABORTED,
              "transaction had failed and was rolled back",
              SessionState.IDLE));
    } else {
      failMalformed("transaction has failed; end it first");
    }
  }

  private void failMalformed(String reason) {
    fail(FailureCode.MALFORMED, reason);
  }

  private void fail(FailureCode code, String reason) {
    SessionState after = state;
    if (state == SessionState.IN_TRANSACTION) {
      rollBackTransaction();
      after = SessionState.FAILED;
    }
    answer(StatementOutcome.failed(code, reason, after));
  }

  private void begin(Statement statement) {
    if (state == SessionState.IN_TRANSACTION) {
      failMalformed("transaction already open");
      return;
    }
    admit(statement, admission -> beginAdmitted(statement, admission));
  }

  private void beginAdmitted(Statement statement, AdmissionDecision admission) {
    boolean readOnly = statement.kind() == StatementKind.BEGIN_READ_ONLY;
    Route route = admission.route();
    OperationScope scope = new OperationScope(route, admission.organisation(), admission.allowed());
    boolean needsPrimary = SingleStatement.needsPrimary(route, !readOnly);
    OutboundPeerLink home =
        context.homes().remoteLink(route.group(), needsPrimary, scope.allowed());
    transaction =
        home == null
            ? new LocalTransaction(context, scope, data, readOnly, receivedNanos)
            : new RemoteTransaction(
                context.loop(),
                context.homes(),
                scope,
                data,
                readOnly,
                context.metrics()::recordLinkRefusal);
    answer(StatementOutcome.done(SessionState.IN_TRANSACTION));
    if (home != null && context.homes().isByLocality(route.group())) {
      home.checkIfIdle();
    }
  }

  private void endTransaction(Statement statement) {
    if (state != SessionState.IN_TRANSACTION) {
      failMalformed("no transaction open");
      return;
    }
    if (statement.kind() == StatementKind.ROLLBACK) {
      rollBackTransaction();
      answer(StatementOutcome.done(SessionState.IDLE));
      return;
    }
    runInTransaction(statement);
  }

  private void execute(Statement statement) {
    if (statement.kind() == StatementKind.EXECUTE
        && !data.prepared().containsKey(statement.name())) {
      SessionState after = state == SessionState.IDLE ? state : SessionState.FAILED;
      if (after == SessionState.FAILED) {
        rollBackTransaction();
      }
      answer(
          StatementOutcome.failed(FailureCode.UNKNOWN_STATEMENT, "statement not prepared", after));
      return;
    }
    if (state == SessionState.IN_TRANSACTION) {
      runInTransaction(statement);
      return;
    }
    admit(statement, admission -> executeAdmitted(statement, admission));
  }

  private void executeAdmitted(Statement statement, AdmissionDecision admission) {
    running = true;
    single =
        new SingleStatement(
            context,
            admission,
            data,
            statement,
            receivedNanos,
            outcome -> handleOutcome(statement, outcome));
    single.start();
  }

  private void runInTransaction(Statement statement) {
    AdmissionDecision admission =
        AdmissionDecision.decide(context.declarations(), database, credential);
    if (admission.refusal() != null) {
      rollBackTransaction();
      SessionState after =
          statement.kind() == StatementKind.COMMIT ? SessionState.IDLE : SessionState.FAILED;
      answer(StatementOutcome.failed(FailureCode.ABORTED, admission.reason(), after));
      return;
    }
    running = true;
    transaction.run(
        statement,
        admission.allowed(),
        receivedNanos,
        outcome -> handleOutcome(statement, outcome));
  }

  private void admit(Statement statement, Consumer<AdmissionDecision> onAdmitted) {
    AdmissionDecision admission =
        AdmissionDecision.decide(context.declarations(), database, credential);
    if (admission.refusal() != null) {
      refuse(statement, admission);
      return;
    }
    Route route = admission.route();
    boolean needsPrimary = SingleStatement.needsPrimary(route, writes(statement));
    if (!context.homes().countsOperations(route.group(), needsPrimary, admission.allowed())) {
      // The home counts the operation against the rate limit.
      onAdmitted.accept(admission);
      return;
    }
    running = true;
    context
        .limits()
        .request(
            admission.organisation(),
            route.priority(),
            new OrganisationRateLimiter.Listener() {
              @Override
              public void admitted() {
                running = false;
                if (!hasEnded()) {
                  onAdmitted.accept(admission);
                  handleNext();
                }
              }

              @Override
              public void refused(String reason) {
                running = false;
                if (!hasEnded()) {
                  refuse(statement, admission.withRefusal(FailureCode.BUSY, reason));
                  handleNext();
                }
              }
            });
  }

  /** Returns whether the operation that {@code statement} begins may write. */
  private boolean writes(Statement statement) {
    return statement.kind() == StatementKind.BEGIN
        || statement.kind() != StatementKind.BEGIN_READ_ONLY && data.writes(statement);
  }

  private void refuse(Statement statement, AdmissionDecision admission) {
    context.requestLog().logRefusal(statement.id(), admission, context.declarations());
    answer(StatementOutcome.failed(admission.refusal(), admission.reason(), state));
  }

  private void handleOutcome(Statement statement, StatementOutcome outcome) {
    running = false;
    single = null;
    if (hasEnded()) {
      return;
    }
    if (outcome.failure() != null) {
      context
          .requestLog()
          .logFailure(statement, owner(), outcome, context.loop().nowNanos() - receivedNanos);
    }
    if (outcome.state() != SessionState.IN_TRANSACTION) {
      rollBackTransaction();
    }
    answer(outcome);
    handleNext();
  }

  private void answer(StatementOutcome outcome) {
    answeredNanos = context.loop().nowNanos();
    state = outcome.state();
    if (outcome.signature() != null || outcome.failure() != null) {
      context.recordRequest(owner(), database, outcome, answeredNanos - receivedNanos);
    }
    outcome.rows().forEach(row -> context.callerCodec().writeRow(channel.out(), row));
    if (outcome.failure() == null) {
      context.callerCodec().writeComplete(channel.out(), outcome.signature());
    } else {
      context.callerCodec().writeFailure(channel.out(), outcome.failure(), outcome.reason());
    }
    context.callerCodec().writeReady(channel.out(), state, outcome.position());
    boolean more = !queued.isEmpty() || backlogged || hasUnreadInput;
    if (closeAfterAnswer && state == SessionState.IDLE && !more) {
      channel.closeAfterFlush();
      ended();
    }
  }

  /**
   * Closes the connection after the next answer outside a transaction, before another request is
   * accepted.
   */
  void closeAfterAnswer() {
    closeAfterAnswer = true;
  }

  private String owner() {
    return context.declarations().current().keyOwners().getOrDefault(credential, "none");
  }

  private void rollBackTransaction() {
    if (transaction != null) {
      OpenTransaction open = transaction;
      transaction = null;
      open.rollback();
    }
  }

  /**
   * Returns whether the session has been idle since {@code nanos}; closing such a session
   * interrupts no work.
   */
  boolean idleSince(long nanos) {
    return !hasUnansweredRequests()
        && channel.unsentBytes() == 0
        && state == SessionState.IDLE
        && answeredNanos - nanos < 0;
  }

  /**
   * Closes the connection if the session has been idle since {@code nanos}, unless a request has
   * arrived that was not read yet. Returns whether it is closed.
   */
  boolean endIfIdle(long nanos, String reason) {
    if (!idleSince(nanos)) {
      return false;
    }
    // A long iteration of the event loop may have passed since the connection was last read.
    channel.readArrived();
    if (!channel.isClosed() && idleSince(nanos)) {
      end(reason);
    }
    return channel.isClosed();
  }

  /** Rolls back an open transaction unless a statement of it is running. */
  void rollBackIdleTransaction() {
    if (transaction != null && !running) {
      rollBackTransaction();
      state = SessionState.FAILED;
    }
  }

  /**
   * Closes a connection whose caller does not open a session, and rolls back a transaction that
   * exceeds the declared idle timeout.
   */
  void tick(long nowNanos) {
    if (database == null && nowNanos - acceptedNanos > OPEN_TIMEOUT_NANOS) {
      end("session not opened in time");
      return;
    }
    long idleMs = context.declarations().current().transactionIdleTimeoutMs();
    if (transaction == null || running || idleMs <= 0) {
      return;
    }
    if (nowNanos - transaction.lastUsedNanos() > TimeUnit.MILLISECONDS.toNanos(idleMs)) {
      rollBackTransaction();
      state = SessionState.FAILED;
    }
  }

  /** Closes the connection and rolls back an open transaction. */
  void end(String reason) {
    channel.close();
    ended();
  }

  @Override
  public void closed(String reason) {
    ended();
  }

  private void ended() {
    if (ended) {
      return;
    }
    ended = true;
    if (single != null) {
      single.cancel();
    }
    rollBackTransaction();
    data.settings().release();
    onEnd.accept(this);
  }
}
