package io.hickorydrift.proxy.metrics;

import io.hickorydrift.core.error.ResultCode;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

/**
 * Prometheus metrics of one instance. Each instance has its own registry, so that several instances
 * can run in one process.
 *
 * <p>Thread safety: safe for use by several threads.
 */
public final class Metrics {
  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Histogram requestSeconds =
      Histogram.builder()
          .name("hickorydrift_request_seconds")
          .help("Time from the arrival of a request to its response, in seconds")
          .labelNames("organisation", "operation", "code")
          .classicUpperBounds(.0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10)
          .classicOnly()
          .register(registry);
  private final Histogram waitSeconds =
      Histogram.builder()
          .name("hickorydrift_wait_seconds")
          .help("Time that statements waited at the home for a slot and a connection, in seconds")
          .labelNames("priority")
          .classicUpperBounds(.001, .005, .01, .02, .05, .1, .2, .5, 1)
          .classicOnly()
          .register(registry);
  private final Histogram predictionErrorSeconds =
      Histogram.builder()
          .name("hickorydrift_wait_prediction_error_seconds")
          .help("Predicted wait of a statement less its actual wait, in seconds")
          .classicUpperBounds(-.5, -.2, -.1, -.05, -.02, -.005, .005, .02, .05, .1, .2, .5)
          .classicOnly()
          .register(registry);
  private final Counter reads =
      Counter.builder()
          .name("hickorydrift_reads_total")
          .help("Completed reads, by role of the target that served them")
          .labelNames("organisation", "role")
          .register(registry);

  private final Counter storeCalls =
      Counter.builder()
          .name("hickorydrift_store_calls_total")
          .help("Calls to the platform's store, by kind")
          .labelNames("kind")
          .register(registry);
  private final Counter peerBytes =
      Counter.builder()
          .name("hickorydrift_peer_bytes_total")
          .help("Bytes sent to other instances, by message type and whether they cross domains")
          .labelNames("type", "crossing")
          .register(registry);
  private final Counter evacuationRefusals =
      Counter.builder()
          .name("hickorydrift_evacuation_refusals_total")
          .help("Statements refused because the targets that can run them are evacuated")
          .register(registry);

  /** Counts a statement that was refused because failure domains are evacuated. */
  public void recordEvacuationRefusal() {
    evacuationRefusals.inc();
  }

  private final Counter refusedForRegion =
      Counter.builder()
          .name("hickorydrift_region_refusals_total")
          .help("Statements refused because no target in an allowed region could run them")
          .register(registry);

  private final Counter coldStatements =
      Counter.builder()
          .name("hickorydrift_cold_target_statements_total")
          .help("Statements delayed or refused because of the bound on requests to a cold target")
          .labelNames("result")
          .register(registry);

  /** Counts a statement that waits because a cold target has no room for it. */
  public void recordDelayedByCold() {
    coldStatements.labelValues("delayed").inc();
  }

  /** Counts a statement that was refused because a cold target had no room for it. */
  public void recordRefusedByCold() {
    coldStatements.labelValues("refused").inc();
  }

  /** Counts a statement refused because no target in an allowed region could run it. */
  public void recordRefusedForRegion() {
    refusedForRegion.inc();
  }

  private final Counter forwardedStatements =
      Counter.builder()
          .name("hickorydrift_forwarded_statements_total")
          .help("Statements forwarded to a home, by the distance to it")
          .labelNames("scope")
          .register(registry);

  private final Counter statementsHeldForPing =
      Counter.builder()
          .name("hickorydrift_statements_held_for_ping_total")
          .help("Statements that waited until a ping had shown that the link to the home works")
          .register(registry);

  /** Counts a statement that waits until a ping has shown that the link to the home works. */
  public void recordHeldForPing() {
    statementsHeldForPing.inc();
  }

  private final Counter rateRefusals =
      Counter.builder()
          .name("hickorydrift_rate_refusals_total")
          .help("Operations refused because of an organisation's rate, by cause")
          .labelNames("cause")
          .register(registry);

  /** Counts an operation that was refused because of its organisation's rate. */
  public void recordRateRefusal(String cause) {
    rateRefusals.labelValues(cause).inc();
  }

  private final Counter readRetriesRefused =
      Counter.builder()
          .name("hickorydrift_read_retries_refused_total")
          .help("Failed reads that were not tried again, since the retry budget was used up")
          .register(registry);
  private final Counter readsRetried =
      Counter.builder()
          .name("hickorydrift_reads_retried_total")
          .help("Reads tried again at another home or target, by reason")
          .labelNames("reason")
          .register(registry);
  private final Counter linkRefusals =
      Counter.builder()
          .name("hickorydrift_link_refusals_total")
          .help("Statements refused because too many were outstanding at their home")
          .register(registry);
  private final Counter cancelledStatements =
      Counter.builder()
          .name("hickorydrift_cancelled_statements_total")
          .help("Forwarded statements that ended at the home because their caller was gone")
          .register(registry);

  private final Counter unexpectedAnswers =
      Counter.builder()
          .name("hickorydrift_unexpected_answers_total")
          .help("Messages of targets that do not answer the command that awaits an answer")
          .labelNames("verdict")
          .register(registry);

  /** Counts a message of a target that does not answer the command that awaits an answer. */
  public void recordUnexpectedAnswer(String verdict) {
    unexpectedAnswers.labelValues(verdict).inc();
  }

  /** Counts a read that is tried again. */
  public void recordReadRetried(String reason) {
    readsRetried.labelValues(reason).inc();
  }

  /** Counts a read that failed and was not tried again, since the retry budget is used up. */
  public void recordReadRetryRefused() {
    readRetriesRefused.inc();
  }

  /** Counts a statement that is refused for the bound of its link. */
  public void recordLinkRefusal() {
    linkRefusals.inc();
  }

  /** Counts a forwarded statement that is cancelled before it is sent to a target. */
  public void recordCancelled() {
    cancelledStatements.inc();
  }

  /** Counts a call to the platform's store. */
  public void recordStoreCall(String kind) {
    storeCalls.labelValues(kind).inc();
  }

  /**
   * Counts bytes sent to another instance.
   *
   * @param type type of the message
   * @param crossing whether the other instance is in another failure domain
   * @param bytes length of the message
   */
  public void recordPeerBytes(String type, boolean crossing, int bytes) {
    peerBytes.labelValues(type, crossing ? "other_domain" : "same_domain").inc(bytes);
  }

  /**
   * Counts a statement that was forwarded to a home.
   *
   * @param scope distance to the home: domain, region or other_region
   */
  public void recordForwarded(String scope) {
    forwardedStatements.labelValues(scope).inc();
  }

  /** Records the wait of a statement of {@code priority} at the home. */
  public void recordWait(int priority, long nanos) {
    waitSeconds.labelValues(String.valueOf(priority)).observe(nanos / 1e9);
  }

  /** Records by how much the predicted wait of a statement exceeded the actual one. */
  public void recordPredictionError(long nanos) {
    predictionErrorSeconds.observe(nanos / 1e9);
  }

  /** Records the latency of a completed request under its numeric result code. */
  public void recordRequest(String organisation, String operation, ResultCode code, long nanos) {
    recordRequest(organisation, operation, String.valueOf(code.number()), nanos);
  }

  /** Records the latency of a completed request under the label {@code result}. */
  public void recordRequest(String organisation, String operation, String result, long nanos) {
    requestSeconds.labelValues(organisation, operation, result).observe(nanos / 1e9);
  }

  /** Counts a completed read by the role of its target. */
  public void recordRead(String organisation, String role) {
    reads.labelValues(organisation, role).inc();
  }

  /** Registers a gauge with one value for each target, whose id is the label. */
  public void registerTargetGauge(
      String name, String help, Supplier<Map<String, Double>> valuesByTarget) {
    registerLabelledGauge(name, help, "target", valuesByTarget);
  }

  /** Registers a gauge with one value for each value of {@code label}. */
  public void registerLabelledGauge(
      String name, String help, String label, Supplier<Map<String, Double>> valuesByLabel) {
    GaugeWithCallback.builder()
        .name("hickorydrift_" + name)
        .help(help)
        .labelNames(label)
        .callback(
            callback -> valuesByLabel.get().forEach((key, value) -> callback.call(value, key)))
        .register(registry);
  }

  /** Registers a gauge whose value is read at each scrape. */
  public void registerGauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name("hickorydrift_" + name)
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }

  /** Returns all metrics in the Prometheus text format. */
  public String text() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.builder().build().write(bytes, registry.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toString(StandardCharsets.UTF_8);
  }
}
