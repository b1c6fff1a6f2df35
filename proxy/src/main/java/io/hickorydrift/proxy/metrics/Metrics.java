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
import java.util.function.DoubleSupplier;

/**
 * Metrics of one instance, each in a registry of its own so that several instances can live in one
 * process.
 *
 * <p>Thread safety: safe.
 */
public final class Metrics {
  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Histogram requestSeconds =
      Histogram.builder()
          .name("hickorydrift_request_seconds")
          .help("Time from a request's arrival to its answer, in seconds")
          .labelNames("organisation", "operation", "code")
          .classicUpperBounds(.0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10)
          .classicOnly()
          .register(registry);
  private final Counter reads =
      Counter.builder()
          .name("hickorydrift_reads_total")
          .help("Reads answered, by the role of the target that served them")
          .labelNames("organisation", "role")
          .register(registry);

  /** Counts an answered request. */
  public void recordRequest(String organisation, String operation, ResultCode code, long nanos) {
    recordRequest(organisation, operation, String.valueOf(code.number()), nanos);
  }

  /** Counts an answered request by a result in words. */
  public void recordRequest(String organisation, String operation, String result, long nanos) {
    requestSeconds.labelValues(organisation, operation, result).observe(nanos / 1e9);
  }

  /** Counts an answered read by the role of its target. */
  public void recordRead(String organisation, String role) {
    reads.labelValues(organisation, role).inc();
  }

  /** Adds a gauge that is read when metrics are collected. */
  public void registerGauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name("hickorydrift_" + name)
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }

  /** Returns all metrics in Prometheus' text format. */
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
