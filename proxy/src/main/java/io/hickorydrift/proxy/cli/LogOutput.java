package io.hickorydrift.proxy.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/**
 * Writes the standard error stream on a thread of its own, so that a reader that is slow or gone
 * holds up no other thread. Bytes that do not fit into the bounded buffer are dropped; a line with
 * their number follows once there is space.
 *
 * <p>Thread safety: safe.
 */
final class LogOutput extends OutputStream {
  private static final int MAX_BUFFERED_BYTES = 256 * 1024;
  // Bound the time for which an output that is not read delays the end of the process. Several
  // short
  // waits, so that the writer gets its turn even if the whole process stalls during one of them.
  private static final int MAX_DRAIN_WAITS = 20;
  private static final long DRAIN_WAIT_MS = 10;

  private final OutputStream target;
  private final ByteArrayOutputStream buffered = new ByteArrayOutputStream();
  private long droppedBytes;
  private boolean writing;

  LogOutput(OutputStream target) {
    this.target = target;
    Thread writer = new Thread(this::writeForever, "log-output");
    writer.setDaemon(true);
    writer.start();
  }

  /** Makes the standard error stream of this process one that does not block. */
  static LogOutput install() {
    LogOutput output = new LogOutput(System.err);
    System.setErr(new PrintStream(output, true, StandardCharsets.UTF_8));
    return output;
  }

  @Override
  public void write(int octet) {
    write(new byte[] {(byte) octet}, 0, 1);
  }

  @Override
  public synchronized void write(byte[] bytes, int offset, int length) {
    if (buffered.size() + length > MAX_BUFFERED_BYTES) {
      droppedBytes += length;
      return;
    }
    if (droppedBytes > 0) {
      String line = "event=log_dropped bytes=" + droppedBytes + "\n";
      buffered.writeBytes(line.getBytes(StandardCharsets.UTF_8));
      droppedBytes = 0;
    }
    buffered.write(bytes, offset, length);
    notifyAll();
  }

  /** Waits until everything has been written, for a bounded time in which the process runs. */
  synchronized void drain() {
    try {
      for (int waits = 0; waits < MAX_DRAIN_WAITS && (writing || buffered.size() > 0); waits++) {
        wait(DRAIN_WAIT_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void writeForever() {
    while (true) {
      byte[] next = awaitNext();
      if (next == null) {
        return;
      }
      try {
        target.write(next);
        target.flush();
      } catch (IOException e) {
        // Nobody reads the log; there is no other place to report it.
      }
    }
  }

  private synchronized byte[] awaitNext() {
    writing = false;
    notifyAll();
    while (buffered.size() == 0) {
      try {
        wait();
      } catch (InterruptedException e) {
        return null;
      }
    }
    writing = true;
    byte[] next = buffered.toByteArray();
    buffered.reset();
    return next;
  }
}
