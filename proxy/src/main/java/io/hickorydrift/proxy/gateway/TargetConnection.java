package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.directory.TargetState;
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
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A connection to a target on behalf of one organisation. Commands are answered in order.
 *
 * <p>Invariant: each command ends exactly once; a connection with an answer that is missing, late
 * or not understood is closed and never used again. Thread safety: confined to the loop's thread.
 */
final class TargetConnection implements ChannelHandler {
  /** A command whose answer is still to come. */
  private static final class Pending {
    private final long sentNanos;
    private final long deadlineNanos;
    private final Consumer<TargetReply> onReply;
    private final List<String> rows = new ArrayList<>(1);
    private TargetMessage outcome;

    private Pending(long sentNanos, long deadlineNanos, Consumer<TargetReply> onReply) {
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
  // Connecting takes a few milliseconds; only a target that is cut off or dark takes longer.
  private static final long CONNECT_NANOS = 300_000_000L;

  private final long openDeadlineNanos;
  private final long connectDeadlineNanos;
  private boolean connected;
  private final ArrayDeque<Pending> pending = new ArrayDeque<>();
  private final Map<String, String> values = new HashMap<>();
  private final Set<String> prepared = new HashSet<>();
  private boolean open;
  private SessionState state = SessionState.IDLE;
  private long heardNanos;

  TargetConnection(
      EventLoop loop,
      TargetCodec codec,
      TargetState target,
      String organisation,
      TargetPool pool,
      long openTimeoutMs) {
    this.loop = loop;
    this.codec = codec;
    this.target = target;
    this.organisation = organisation;
    this.pool = pool;
    openDeadlineNanos = loop.nowNanos() + TimeUnit.MILLISECONDS.toNanos(openTimeoutMs);
    connectDeadlineNanos = loop.nowNanos() + CONNECT_NANOS;
    channel = TcpChannel.connect(loop, target.entry().address(), this);
  }

  TargetState target() {
    return target;
  }

  String organisation() {
    return organisation;
  }

  boolean isOpen() {
    return open && !channel.isClosed();
  }

  SessionState state() {
    return state;
  }

  /** Returns when the target was last heard on this connection. */
  long lastReceivedNanos() {
    return heardNanos;
  }

  /** Returns whether answers are still to come. */
  boolean hasPendingCommands() {
    return !pending.isEmpty();
  }

  @Override
  public void connected() {
    connected = true;
    codec.writeOpen(channel.out(), target.entry().group(), organisation, target.entry().id());
  }

  /** Sends {@code command}; the reply comes exactly once. */
  void run(TargetCommand command, long deadlineNanos, Consumer<TargetReply> onReply) {
    if (channel.isClosed()) {
      onReply.accept(lost("connection closed", loop.nowNanos()));
      return;
    }
    pending.addLast(new Pending(loop.nowNanos(), deadlineNanos, onReply));
    codec.writeCommand(channel.out(), command);
  }

  /** Brings the session's values to {@code wanted}; does nothing if they stand so. */
  void applySessionValues(Map<String, String> wanted, long deadlineNanos) {
    if (!wanted.keySet().containsAll(values.keySet())) {
      values.clear();
      prepared.clear();
      run(new TargetCommand.Reset(), deadlineNanos, this::closeUnlessOk);
    }
    wanted.forEach(
        (name, value) -> {
          if (!value.equals(values.put(name, value))) {
            run(new TargetCommand.SetValue(name, value), deadlineNanos, this::closeUnlessOk);
          }
        });
  }

  /** Makes sure that the target knows {@code statement} under its shared name. */
  void prepare(PreparedStatement statement, long deadlineNanos) {
    String name = statement.sharedName();
    if (prepared.add(name)) {
      run(
          new TargetCommand.Prepare(name, statement),
          deadlineNanos,
          reply -> {
            if (!reply.ok()) {
              prepared.remove(name);
            }
          });
    }
  }

  /** Shows whether the target still hears; drops the session's values on the way. */
  void probe(long deadlineNanos, Consumer<TargetReply> onReply) {
    values.clear();
    prepared.clear();
    run(new TargetCommand.Reset(), deadlineNanos, onReply);
  }

  private void closeUnlessOk(TargetReply reply) {
    if (!reply.ok()) {
      close("session values refused");
    }
  }

  @Override
  public void received(ByteBuffer in) {
    heardNanos = loop.nowNanos();
    while (!channel.isClosed()) {
      TargetMessage message = codec.decode(in);
      if (message == null) {
        return;
      }
      take(message);
    }
  }

  private void take(TargetMessage message) {
    if (!open) {
      takeFirst(message);
      return;
    }
    Pending current = pending.peekFirst();
    if (current == null || message instanceof TargetMessage.Unreadable) {
      close("unexpected message");
    } else if (message instanceof TargetMessage.Row row) {
      current.rows.add(row.text());
    } else if (message instanceof TargetMessage.Ready ready) {
      finish(ready);
    } else if (current.outcome == null) {
      current.outcome = message;
    } else {
      close("second outcome for one command");
    }
  }

  private void takeFirst(TargetMessage message) {
    if (message instanceof TargetMessage.Ready ready) {
      open = true;
      target.recordApplied(ready.position());
      pool.opened(this);
    } else if (message instanceof TargetMessage.Failure failure) {
      channel.close();
      pool.openFailed(this, failure.code(), failure.text());
    } else {
      close("unexpected message");
    }
  }

  private void finish(TargetMessage.Ready ready) {
    Pending current = pending.removeFirst();
    state = ready.state();
    target.recordApplied(ready.position());
    if (current.outcome instanceof TargetMessage.Complete complete) {
      current.onReply.accept(
          new TargetReply(
              current.rows,
              complete.signature(),
              null,
              "",
              state,
              ready.position(),
              current.sentNanos));
    } else if (current.outcome instanceof TargetMessage.Failure failure) {
      current.onReply.accept(
          new TargetReply(
              current.rows,
              null,
              failure.code(),
              failure.text(),
              state,
              ready.position(),
              current.sentNanos));
    } else {
      pending.addFirst(current);
      close("answer without outcome");
    }
  }

  /** Closes if an answer is overdue. */
  void checkDeadline(long nowNanos) {
    if (!open && openDeadlineNanos - nowNanos < 0) {
      close("not open in time");
      return;
    }
    if (!connected && connectDeadlineNanos - nowNanos < 0) {
      close("not connected in time");
      return;
    }
    Pending oldest = pending.peekFirst();
    if (oldest != null && oldest.deadlineNanos - nowNanos < 0) {
      close("no answer in time");
    }
  }

  /** Closes; commands under way are lost. */
  void close(String reason) {
    if (!channel.isClosed()) {
      channel.close();
      closed(reason);
    }
  }

  @Override
  public void closed(String reason) {
    if (!open) {
      pool.openFailed(this, null, reason);
      return;
    }
    pool.closed(this);
    while (!pending.isEmpty()) {
      Pending current = pending.removeFirst();
      current.onReply.accept(lost(reason, current.sentNanos));
    }
  }

  private static TargetReply lost(String reason, long sentNanos) {
    return new TargetReply(List.of(), null, null, reason, null, null, sentNanos);
  }
}
