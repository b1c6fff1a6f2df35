package io.hickorydrift.proxy.intake;

import io.hickorydrift.core.error.ProxyException;
import io.hickorydrift.core.error.ResultCode;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.thread.Invocable;

/**
 * The body of a request, which is read completely or, after a refusal, discarded.
 *
 * <p>A connection that is closed while the caller is still sending is reset, and the caller may
 * lose an answer that it has not read yet. Therefore the rest of the body of a refused request is
 * received, within bounds, before the request is completed.
 *
 * <p>Thread safety: safe.
 */
final class RequestBody {
  /** Bound on the bytes received; a caller that sends more may lose the answer. */
  static final long MAX_RECEIVED_BYTES = 8L * 1024 * 1024;

  // The same limit as for a body that is read, since callers send both in the same way.
  private static final long DISCARD_TIMEOUT_MS = 5_000;

  private final Request request;
  private final int maxBytes;
  private final CompletableFuture<byte[]> body = new CompletableFuture<>();
  private final CompletableFuture<Void> received = new CompletableFuture<>();
  private final AtomicBoolean started = new AtomicBoolean();
  // Used by receive() only, which has one call at a time.
  private final ByteArrayOutputStream kept = new ByteArrayOutputStream();
  private long receivedBytes;

  /** Creates the body of {@code request}, of which at most {@code maxBytes} are accepted. */
  RequestBody(Request request, int maxBytes) {
    this.request = request;
    this.maxBytes = maxBytes;
  }

  /** Reads the whole body within {@code timeoutMs}. */
  CompletableFuture<byte[]> read(long timeoutMs) {
    if (request.getLength() > maxBytes) {
      body.completeExceptionally(tooLarge());
      return body;
    }
    body.orTimeout(timeoutMs, TimeUnit.MILLISECONDS);
    start();
    return body;
  }

  /**
   * Receives and discards what has not been received yet. Runs {@code onEnd} when the body has
   * ended or a bound is reached.
   */
  void discard(Runnable onEnd) {
    received
        .completeOnTimeout(null, DISCARD_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .whenComplete((nothing, failure) -> onEnd.run());
    start();
  }

  private void start() {
    if (started.compareAndSet(false, true)) {
      receive();
    }
  }

  private void receive() {
    while (!received.isDone()) {
      Content.Chunk chunk = request.read();
      if (chunk == null) {
        request.demand(Invocable.from(Invocable.InvocationType.NON_BLOCKING, this::receive));
        return;
      }
      if (Content.Chunk.isFailure(chunk)) {
        received.complete(null);
        body.completeExceptionally(chunk.getFailure());
        return;
      }
      boolean isLast = chunk.isLast();
      keep(chunk.getByteBuffer());
      chunk.release();
      if (isLast || receivedBytes >= MAX_RECEIVED_BYTES) {
        received.complete(null);
      }
      if (receivedBytes > maxBytes) {
        body.completeExceptionally(tooLarge());
      } else if (isLast) {
        body.complete(kept.toByteArray());
      }
    }
  }

  private void keep(ByteBuffer bytes) {
    int length = bytes.remaining();
    receivedBytes += length;
    if (receivedBytes <= maxBytes && !body.isDone()) {
      byte[] copy = new byte[length];
      bytes.get(copy);
      kept.write(copy, 0, length);
    }
  }

  private static ProxyException tooLarge() {
    return new ProxyException(ResultCode.REQUEST_TOO_LARGE, null);
  }
}
