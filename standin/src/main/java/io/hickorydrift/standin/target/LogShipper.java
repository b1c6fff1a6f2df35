package io.hickorydrift.standin.target;

import io.hickorydrift.standin.http.JsonServer;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;

/**
 * Sends the log to one replica for as long as this target is the primary.
 *
 * <p>Thread safety: runs on a thread of its own.
 */
final class LogShipper implements AutoCloseable {
  private static final int MAX_BATCH_ENTRIES = 256;
  private static final long IDLE_WAIT_MS = 50;
  private static final Duration TIMEOUT = Duration.ofMillis(1_000);

  private final String self;
  private final String replicaAddress;
  private final ReplicatedLog log;
  private final long delayMs;
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(TIMEOUT).build();
  private final PauseBarrier pauseBarrier;
  private final Thread thread;
  private volatile boolean closed;
  private long nextIndex = 1;
  private long shippedTerm;

  /** Holds the shipper back while the target is frozen. */
  interface PauseBarrier {
    /** Returns once entries may be sent. */
    void awaitResumed() throws InterruptedException;
  }

  LogShipper(
      String self, String replicaAddress, ReplicatedLog log, long delayMs, PauseBarrier gate) {
    this.pauseBarrier = gate;
    this.self = self;
    this.replicaAddress = replicaAddress;
    this.log = log;
    this.delayMs = delayMs;
    thread = new Thread(this::run, "shipper-" + self + "-" + replicaAddress);
    thread.setDaemon(true);
    thread.start();
  }

  private void run() {
    while (!closed) {
      try {
        if (!self.equals(log.primary())) {
          log.awaitChange(IDLE_WAIT_MS);
          continue;
        }
        ship();
      } catch (InterruptedException e) {
        return;
      } catch (IOException e) {
        waitAfterFailure();
      }
    }
  }

  private void waitAfterFailure() {
    try {
      log.awaitChange(IDLE_WAIT_MS);
    } catch (InterruptedException e) {
      closed = true;
    }
  }

  private void ship() throws IOException, InterruptedException {
    long term = log.term();
    if (term != shippedTerm) {
      shippedTerm = term;
      nextIndex = log.lastPosition().index() + 1;
    }
    List<LogEntry> entries = log.entriesFrom(nextIndex, MAX_BATCH_ENTRIES);
    if (entries.isEmpty()) {
      log.awaitChange(IDLE_WAIT_MS);
      entries = log.entriesFrom(nextIndex, MAX_BATCH_ENTRIES);
    }
    awaitReplicationDelay(entries);
    pauseBarrier.awaitResumed();
    AppendRequest request =
        new AppendRequest(term, self, log.positionAt(nextIndex - 1).term(), nextIndex - 1, entries);
    AppendAnswer answer = send(request);
    if (answer.accepted()) {
      nextIndex += entries.size();
    } else if (answer.term() > term) {
      log.fence(answer.term());
    } else {
      nextIndex = Math.max(1, Math.min(nextIndex - 1, answer.lastIndex() + 1));
    }
  }

  private void awaitReplicationDelay(List<LogEntry> entries) throws InterruptedException {
    if (delayMs > 0 && !entries.isEmpty()) {
      long dueNanos = log.receivedAtNanos(entries.get(0).index()) + delayMs * 1_000_000L;
      long leftMs = (dueNanos - System.nanoTime()) / 1_000_000L;
      if (leftMs > 0) {
        Thread.sleep(leftMs);
      }
    }
  }

  private AppendAnswer send(AppendRequest request) throws IOException, InterruptedException {
    HttpRequest http =
        HttpRequest.newBuilder(URI.create("http://" + replicaAddress + "/append"))
            .timeout(TIMEOUT)
            .POST(HttpRequest.BodyPublishers.ofString(JsonServer.JSON.writeValueAsString(request)))
            .build();
    HttpResponse<String> response = client.send(http, HttpResponse.BodyHandlers.ofString());
    return JsonServer.JSON.readValue(response.body(), AppendAnswer.class);
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
  }
}
