package io.hickorydrift.proxy.gateway;

import io.hickorydrift.proxy.metrics.Metrics;
import io.hickorydrift.proxy.net.ChannelHandler;
import io.hickorydrift.proxy.net.HttpExchange;
import io.hickorydrift.proxy.net.HttpServerConnection;
import io.hickorydrift.proxy.net.TcpChannel;
import java.util.function.BooleanSupplier;

/**
 * Answers the load balancer's readiness checks and requests for metrics.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class StatusEndpoints {
  private static final String METRICS_PATH = "/metrics";
  private static final String PLAIN_TEXT = "text/plain";
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  private final String readinessPath;
  private final BooleanSupplier ready;
  private final Metrics metrics;

  StatusEndpoints(String readinessPath, BooleanSupplier ready, Metrics metrics) {
    this.readinessPath = readinessPath;
    this.ready = ready;
    this.metrics = metrics;
  }

  ChannelHandler serveReadiness(TcpChannel channel) {
    return new HttpServerConnection(channel, this::answerReadiness);
  }

  ChannelHandler serveMetrics(TcpChannel channel) {
    return new HttpServerConnection(channel, this::answerMetrics);
  }

  private void answerMetrics(HttpExchange exchange) {
    boolean known = exchange.path().equals(METRICS_PATH);
    exchange.respond(known ? OK : NOT_FOUND, PLAIN_TEXT, known ? metrics.text() : "not found\n");
  }

  private void answerReadiness(HttpExchange exchange) {
    if (!exchange.path().equals(readinessPath)) {
      exchange.respond(NOT_FOUND, PLAIN_TEXT, "not found\n");
    } else if (ready.getAsBoolean()) {
      exchange.respond(OK, PLAIN_TEXT, "ready\n");
    } else {
      exchange.respond(UNAVAILABLE, PLAIN_TEXT, "not ready\n");
    }
  }
}
