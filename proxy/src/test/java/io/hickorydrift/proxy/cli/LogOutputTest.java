package io.hickorydrift.proxy.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a last line that is lost, and against an end that an unread output holds up. */
class LogOutputTest {
  private static final byte[] LINE = "last line\n".getBytes(StandardCharsets.UTF_8);
  // Longer than the whole of the waits of a drain.
  private static final long STALL_MS = 600;
  private static final long WRITE_MS = 100;

  private final CountDownLatch writeBegun = new CountDownLatch(1);
  private final CountDownLatch drained = new CountDownLatch(1);
  private final ByteArrayOutputStream written = new ByteArrayOutputStream();

  /** A target whose first write begins a stall of all threads that use the output. */
  private final class StallingTarget extends OutputStream {
    private LogOutput output;

    @Override
    public void write(int octet) {
      write(new byte[] {(byte) octet}, 0, 1);
    }

    @Override
    public void write(byte[] bytes, int offset, int length) {
      try {
        synchronized (output) {
          writeBegun.countDown();
          assertThat(drained.await(STALL_MS, TimeUnit.MILLISECONDS)).isFalse();
        }
        drained.await(WRITE_MS, TimeUnit.MILLISECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      written.write(bytes, offset, length);
    }
  }

  @Test
  void lastLineIsWrittenAfterTheProcessHasStalled() {
    StallingTarget target = new StallingTarget();
    LogOutput output = new LogOutput(target);
    target.output = output;
    synchronized (output) {
      output.write(LINE, 0, LINE.length);
      output.drain();
    }
    byte[] writtenAtEnd = written.toByteArray();
    drained.countDown();
    assertThat(writtenAtEnd).isEqualTo(LINE);
  }

  @Test
  @Timeout(30)
  void unreadOutputHoldsUpTheEndForBoundedTime() throws Exception {
    LogOutput output =
        new LogOutput(
            new OutputStream() {
              @Override
              public void write(int octet) {
                writeBegun.countDown();
                try {
                  drained.await();
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
              }
            });
    output.write(LINE, 0, LINE.length);
    writeBegun.await();
    output.drain();
    drained.countDown();
    assertThat(written.size()).isZero();
  }
}
