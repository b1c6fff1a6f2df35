package io.hickorydrift.proxy.bench;

import io.hickorydrift.core.error.ResultCode;
import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * What callers were answered under load.
 *
 * <p>Thread safety: guarded by its own monitor.
 */
public final class LoadResult {
  private static final int DIGITS = 3;
  private static final double MICROS_PER_MS = 1_000.0;

  private final Histogram micros = new Histogram(DIGITS);
  private final Map<ResultCode, Long> codes = new EnumMap<>(ResultCode.class);
  private long onReplica;
  private double seconds;

  synchronized void record(long nanos, ResultCode code, boolean replica) {
    codes.merge(code, 1L, Long::sum);
    onReplica += replica ? 1 : 0;
    if (code == ResultCode.OK) {
      micros.recordValue(Math.max(1, nanos / 1_000));
    }
  }

  synchronized void finish(double elapsedSeconds) {
    seconds = elapsedSeconds;
  }

  /** Returns how many requests were answered with {@code code}. */
  public synchronized long count(ResultCode code) {
    return codes.getOrDefault(code, 0L);
  }

  /** Returns how many requests were answered. */
  public synchronized long total() {
    return codes.values().stream().mapToLong(Long::longValue).sum();
  }

  /** Returns how many requests were done a second. */
  public synchronized double successesPerSecond() {
    return count(ResultCode.OK) / seconds;
  }

  /** Returns the share of done requests that replicas served. */
  public synchronized double replicaShare() {
    return onReplica / (double) Math.max(1, count(ResultCode.OK));
  }

  /** Returns a percentile of the latency of done requests, in milliseconds. */
  public synchronized double latencyPercentileMs(double percentile) {
    return micros.getValueAtPercentile(percentile) / MICROS_PER_MS;
  }

  /** Returns the counts by code other than done. */
  public synchronized String failuresByCode() {
    StringBuilder text = new StringBuilder();
    codes.forEach(
        (code, count) -> {
          if (code != ResultCode.OK) {
            text.append(text.isEmpty() ? "" : " ").append(code.number()).append(':').append(count);
          }
        });
    return text.isEmpty() ? "none" : text.toString();
  }
}
