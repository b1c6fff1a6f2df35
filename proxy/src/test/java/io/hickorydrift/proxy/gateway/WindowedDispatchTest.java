package io.hickorydrift.proxy.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.hickorydrift.core.directory.Directory;
import io.hickorydrift.core.directory.TargetEntry;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.scheduling.WaitingRequest;
import io.hickorydrift.core.statement.SessionState;
import io.hickorydrift.core.statement.TargetCommand;
import io.hickorydrift.core.statement.TargetMessage;
import io.hickorydrift.core.statement.TargetReport;
import io.hickorydrift.core.store.StorePosition;
import io.hickorydrift.proxy.bench.FreePorts;
import io.hickorydrift.proxy.net.ChannelHandler;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.net.ManualTime;
import io.hickorydrift.proxy.net.OutBuffer;
import io.hickorydrift.proxy.net.TcpListener;
import io.hickorydrift.proxy.port.TargetCodec;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against an error in a callback after which a target of a group with urgent work is no
 * longer served, or has one connection less.
 */
class WindowedDispatchTest {
  private static final int MAX_ITERATIONS = 3_000;
  private static final long TIMEOUT_NANOS = 2_000_000_000L;
  private static final String ERROR = "error in a callback";

  private final ManualTime time = new ManualTime();
  private final EventLoop loop = new EventLoop(time);
  private final List<TargetConnection> acquired = new ArrayList<>();
  private int budget = 2;
  private TargetPool pool;

  /** One octet opens a session; any octet from the target says that it is open. */
  private static final class OctetCodec implements TargetCodec {
    @Override
    public void writeOpen(OutBuffer out, String group, String organisation, String target) {
      out.octet('o');
    }

    @Override
    public void writeCommand(OutBuffer out, TargetCommand command) {
      out.octet('c');
    }

    @Override
    public TargetMessage decode(ByteBuffer in) {
      if (!in.hasRemaining()) {
        return null;
      }
      in.get();
      return new TargetMessage.Ready(SessionState.IDLE, null);
    }

    @Override
    public boolean mayCompleteMessage(ByteBuffer received) {
      return true;
    }

    @Override
    public TargetReport decodeReport(String row) {
      return null;
    }
  }

  @BeforeEach
  void openPool() throws IOException {
    String address = FreePorts.nextAddress();
    new TcpListener(
        loop,
        address,
        channel ->
            new ChannelHandler() {
              @Override
              public void received(ByteBuffer in) {
                in.position(in.limit());
                channel.out().octet('r');
              }

              @Override
              public void closed(String reason) {}
            });
    Directory directory = new Directory(removed -> {});
    directory.put(
        new TargetEntry("t0", "pg1", address, "zone-0", 4, false, true, 1, 1), StorePosition.NONE);
    TargetState target = directory.primaryOf("pg1");
    pool =
        new TargetPool(
            loop,
            new OctetCodec(),
            target,
            () -> budget,
            () -> true,
            (priority, waitedNanos, predictedNanos) -> {},
            AnswerObserver.NONE);
    pool.tick(loop.nowNanos());
  }

  private void acquire(Consumer<TargetConnection> onAcquired) {
    long nowNanos = loop.nowNanos();
    pool.acquire(
        new WaitingRequest(
            "red", 0, nowNanos, nowNanos, 100_000_000L, nowNanos + TIMEOUT_NANOS, 1_000_000L),
        TIMEOUT_NANOS,
        0.5,
        new AcquireListener() {
          @Override
          public void acquired(TargetConnection connection) {
            onAcquired.accept(connection);
          }

          @Override
          public void refused(String reason) {
            throw new AssertionError(reason);
          }
        });
  }

  private void runUntil(BooleanSupplier condition) throws IOException {
    for (int i = 0; i < MAX_ITERATIONS && !condition.getAsBoolean(); i++) {
      loop.runOnce(0);
    }
    assertThat(condition.getAsBoolean()).isTrue();
  }

  /** Leaves an idle connection, and hands it to a listener that throws an error. */
  private void failInCallback() throws IOException {
    acquire(acquired::add);
    runUntil(() -> acquired.size() == 1);
    pool.release(acquired.remove(0));
    assertThatThrownBy(
            () ->
                acquire(
                    connection -> {
                      throw new IllegalStateException(ERROR);
                    }))
        .hasMessage(ERROR);
  }

  @Test
  void errorInCallbackDoesNotEndTheServingOfTheTarget() throws IOException {
    failInCallback();
    acquire(acquired::add);
    runUntil(() -> acquired.size() == 1);
    pool.release(acquired.remove(0));
    acquire(acquired::add);
    assertThat(acquired).hasSize(1);
    assertThat(pool.dispatch().window().inFlight()).isZero();
  }

  /** Guards against a connection that nobody holds, and that counts against the budget. */
  @Test
  void errorInCallbackDoesNotKeepItsConnection() throws IOException {
    budget = 1;
    failInCallback();
    acquire(acquired::add);
    runUntil(() -> acquired.size() == 1);
    assertThat(pool.size()).isEqualTo(1);
  }
}
