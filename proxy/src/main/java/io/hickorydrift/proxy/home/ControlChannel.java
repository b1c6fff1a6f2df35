package io.hickorydrift.proxy.home;

import io.hickorydrift.core.message.TargetAnswer;
import io.hickorydrift.core.message.TargetRequest;
import io.hickorydrift.proxy.runtime.Worker;
import io.hickorydrift.proxy.target.TargetConnection;
import io.hickorydrift.proxy.target.TargetConnector;

/**
 * A home's single control connection to a target, for probes, position waits, fences and
 * promotions.
 *
 * <p>Invariants: at most one connection is open and at most one exchange is in flight; a request
 * for a fresh connection aborts the exchange in flight.
 *
 * <p>Thread safety: confined to the home worker.
 */
final class ControlChannel {
  /** Receives the result of an exchange. */
  interface Listener {
    /**
     * Called when the exchange has ended.
     *
     * @param answer the answer, or null if there was none
     * @param sentNanos when the request was sent
     */
    void onCompleted(TargetAnswer answer, long sentNanos);
  }

  private final String address;
  private final TargetConnector connector;
  private final Worker worker;
  private TargetConnection connection;
  private boolean busy;
  private long generation;

  ControlChannel(String address, TargetConnector connector, Worker worker) {
    this.address = address;
    this.connector = connector;
    this.worker = worker;
  }

  boolean busy() {
    return busy;
  }

  /** Starts an exchange; returns false if one is in flight and {@code fresh} is not set. */
  boolean exchange(TargetRequest request, boolean fresh, long timeoutMs, Listener listener) {
    if (busy && !fresh) {
      return false;
    }
    if (fresh) {
      close();
    }
    busy = true;
    long exchangeGeneration = ++generation;
    if (connection != null && connection.usable()) {
      send(request, timeoutMs, exchangeGeneration, listener);
      return true;
    }
    connection = null;
    connector
        .open(address)
        .whenComplete(
            (opened, failure) ->
                worker.submit(
                    () ->
                        onConnectionOpened(
                            opened, request, timeoutMs, exchangeGeneration, listener)));
    return true;
  }

  /** Closes the connection; an exchange in flight ends without an answer. */
  void close() {
    if (connection != null) {
      connection.close();
      connection = null;
    }
    busy = false;
    generation++;
  }

  private void onConnectionOpened(
      TargetConnection opened,
      TargetRequest request,
      long timeoutMs,
      long exchangeGeneration,
      Listener listener) {
    if (exchangeGeneration != generation) {
      if (opened != null) {
        opened.close();
      }
      listener.onCompleted(null, System.nanoTime());
      return;
    }
    if (opened == null) {
      busy = false;
      listener.onCompleted(null, System.nanoTime());
      return;
    }
    connection = opened;
    send(request, timeoutMs, exchangeGeneration, listener);
  }

  private void send(
      TargetRequest request, long timeoutMs, long exchangeGeneration, Listener listener) {
    long sentNanos = System.nanoTime();
    connection
        .exchange(request, timeoutMs)
        .whenComplete(
            (answer, failure) ->
                worker.submit(
                    () -> {
                      if (exchangeGeneration == generation) {
                        busy = false;
                      }
                      listener.onCompleted(answer, sentNanos);
                    }));
  }
}
