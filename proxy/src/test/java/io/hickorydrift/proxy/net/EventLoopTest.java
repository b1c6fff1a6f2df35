package io.hickorydrift.proxy.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that one failing callback does not end the loop, and timers on manual time. */
class EventLoopTest {
  private final ManualTime time = new ManualTime();
  private final EventLoop loop = new EventLoop(time);
  private final List<String> ran = new ArrayList<>();

  private void advanceMs(long ms) throws IOException {
    time.advanceMs(ms);
    loop.runOnce(0);
  }

  @Test
  void errorsInCallbacksDoNotEndTheLoop() throws IOException {
    loop.after(
        5,
        () -> {
          throw new StackOverflowError();
        });
    loop.after(
        5,
        () -> {
          throw new IllegalStateException();
        });
    loop.post(
        () -> {
          throw new StackOverflowError();
        });
    loop.after(10, () -> ran.add("later"));
    advanceMs(5);
    advanceMs(5);
    assertThat(ran).containsExactly("later");
  }

  @Test
  void errorDuringFlushOfChannelDoesNotEndTheLoop() throws IOException {
    try (ServerSocket neverReads = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      String address = "127.0.0.1:" + neverReads.getLocalPort();
      ChannelHandler failing =
          new ChannelHandler() {
            @Override
            public void received(ByteBuffer in) {}

            @Override
            public void closed(String reason) {
              ran.add(reason);
              throw new IllegalStateException();
            }
          };
      TcpChannel channel = TcpChannel.connect(loop, address, failing);
      // More than the buffers of both sockets hold and a channel may keep.
      channel.out().octets(new byte[64 << 20]);
      for (int i = 0; i < 1_000 && ran.isEmpty(); i++) {
        loop.runOnce(1);
      }
    }
    loop.after(5, () -> ran.add("later"));
    advanceMs(5);
    assertThat(ran).containsExactly("remote end reads too slowly", "later");
  }

  @Test
  void errorInPauseListenerDoesNotSkipTheOthers() throws IOException {
    loop.clock()
        .onClockPause(
            () -> {
              throw new IllegalStateException();
            });
    loop.clock().onClockPause(() -> ran.add("dropped"));
    time.suspendMs(500);
    loop.runOnce(0);
    assertThat(ran).containsExactly("dropped");
  }

  @Test
  void timersFireInOrderOnceTheTimeHasPassed() throws IOException {
    loop.after(20, () -> ran.add("b"));
    loop.after(10, () -> ran.add("a"));
    EventLoop.Timer cancelled = loop.after(10, () -> ran.add("cancelled"));
    cancelled.cancel();
    advanceMs(9);
    assertThat(ran).isEmpty();
    assertThat(loop.timerCount()).isEqualTo(3);
    advanceMs(11);
    assertThat(ran).containsExactly("a", "b");
    assertThat(loop.timerCount()).isZero();
  }
}
