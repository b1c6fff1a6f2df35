package io.hickorydrift.proxy.bench;

import io.hickorydrift.core.error.ResultCode;
import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Result codes and latencies of the answers under load.
 *
 * <p>Thread safety: guarded by its own monitor.
 */
public final class LoadResult {
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double MICROS_PER_MS = 1_000.0;

  private final Histogram latencyMicros = new Histogram(SIGNIFICANT_DIGITS);
  private final Map<ResultCode, Long> countByCode = new EnumMap<>(ResultCode.class);
  private long servedByReplicas;
  private double seconds;

  synchronized void record(long nanos, ResultCode code, boolean replica) {
    countByCode.merge(code, 1L, Long::sum);
    servedByReplicas += replica ? 1 : 0;
    if (code == ResultCode.OK) {
      latencyMicros.recordValue(Math.max(1, nanos / 1_000));
    }
  }

  synchronized void finish(double elapsedSeconds) {
    seconds = elapsedSeconds;
  }

  /** Returns the number of requests answered with {@code code}. */
  public synchronized long count(ResultCode code) {
    return countByCode.getOrDefault(code, 0L);
  }

  /** Returns the number of answered requests. */
  public synchronized long total() {
    return countByCode.values().stream().mapToLong(Long::longValue).sum();
  }

  /** Returns the number of successful requests per second. */
  public synchronized double successesPerSecond() {
    return count(ResultCode.OK) / seconds;
  }

  /** Returns the fraction of successful requests that replicas served. */
  public synchronized double replicaShare() {
    return servedByReplicas / (double) Math.max(1, count(ResultCode.OK));
  }

  /** Returns a percentile of the latency of successful requests, in milliseconds. */
  public synchronized double latencyPercentileMs(double percentile) {
    return latencyMicros.getValueAtPercentile(percentile) / MICROS_PER_MS;
  }

  /** Returns the counts of all result codes other than OK as text, or {@code none}. */
  public synchronized String failuresByCode() {
    StringBuilder text = new StringBuilder();
    countByCode.forEach(
        (code, count) -> {
          if (code != ResultCode.OK) {
            text.append(text.isEmpty() ? "" : " ").append(code.number()).append(':').append(count);
          }
        });
    return text.isEmpty() ? "none" : text.toString();
  }
}
