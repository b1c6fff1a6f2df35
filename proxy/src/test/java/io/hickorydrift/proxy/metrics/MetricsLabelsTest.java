package io.hickorydrift.proxy.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a name of the operator that forges a line or a label of the metrics. */
class MetricsLabelsTest {
  @Test
  void labelValuesAreEscaped() {
    Metrics metrics = new Metrics();
    metrics.recordRead("a\"} 1\nforged{x=\"\\", "primary");
    assertThat(metrics.text().lines())
        .contains(
            "hickorydrift_reads_total{organisation=\"a\\\"} 1\\nforged{x=\\\"\\\\\","
                + "role=\"primary\"} 1.0")
        .noneMatch(line -> line.startsWith("forged"));
  }
}
