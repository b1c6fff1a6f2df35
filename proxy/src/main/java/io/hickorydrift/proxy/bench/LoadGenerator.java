package io.hickorydrift.proxy.bench;

import io.hickorydrift.core.error.ResultCode;
import io.hickorydrift.core.message.CallerAnswer;
import io.hickorydrift.core.message.CallerRequest;
import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntFunction;

/**
 * Sends requests for a bounded time, as a closed loop of callers or as an open loop at a fixed
 * rate.
 *
 * <p>Thread safety: confined to one thread; runs closed-loop callers on its own threads.
 */
public final class LoadGenerator {
  private static final HttpClient HTTP = CallerClient.newHttpClient();
  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * One request of a caller.
   *
   * @param address instance to call
   * @param route route to call
   * @param body body of the request
   */
  public record Request(String address, String route, CallerRequest body) {}

  private LoadGenerator() {}

  /**
   * Runs {@code callers} concurrent callers with {@code key} for {@code seconds}; each sends its
   * next request after the answer to the previous one.
   */
  public static LoadResult runClosedLoop(
      int callers, double seconds, String key, IntFunction<Request> requests) throws Exception {
    LoadResult result = new LoadResult();
    ExecutorService threads = Executors.newFixedThreadPool(callers);
    long startNanos = System.nanoTime();
    long endNanos = startNanos + (long) (seconds * NANOS_PER_SECOND);
    List<CompletableFuture<Void>> running = new ArrayList<>();
    for (int c = 0; c < callers; c++) {
      int number = c;
      running.add(
          CompletableFuture.runAsync(
              () -> {
                CallerClient caller = new CallerClient(HTTP, key);
                for (int i = number; System.nanoTime() < endNanos; i += callers) {
                  send(caller, requests.apply(i), result).join();
                }
              },
              threads));
    }
    running.forEach(CompletableFuture::join);
    threads.shutdown();
    result.finish((System.nanoTime() - startNanos) / NANOS_PER_SECOND);
    return result;
  }

  /** Sends requests at a constant rate for {@code seconds}, regardless of the answers. */
  public static LoadResult runOpenLoop(
      double ratePerSecond, double seconds, String key, IntFunction<Request> requests) {
    LoadResult result = new LoadResult();
    AtomicLong inFlight = new AtomicLong();
    long startNanos = System.nanoTime();
    int count = (int) (ratePerSecond * seconds);
    for (int i = 0; i < count; i++) {
      long dueNanos = startNanos + (long) (i / ratePerSecond * NANOS_PER_SECOND);
      while (System.nanoTime() < dueNanos) {
        LockSupport.parkNanos(dueNanos - System.nanoTime());
      }
      inFlight.incrementAndGet();
      send(new CallerClient(HTTP, key), requests.apply(i), result)
          .whenComplete((done, failure) -> inFlight.decrementAndGet());
    }
    while (inFlight.get() > 0) {
      LockSupport.parkNanos(1_000_000);
    }
    result.finish((System.nanoTime() - startNanos) / NANOS_PER_SECOND);
    return result;
  }

  private static CompletableFuture<Void> send(
      CallerClient caller, Request call, LoadResult result) {
    long sentNanos = System.nanoTime();
    return caller
        .call(call.address(), call.route(), null, call.body())
        .handle(
            (answer, failure) -> {
              result.record(System.nanoTime() - sentNanos, code(answer), onReplica(answer));
              return null;
            });
  }

  private static ResultCode code(CallerAnswer answer) {
    return answer == null ? ResultCode.INTERNAL : ResultCode.of(answer.code());
  }

  private static boolean onReplica(CallerAnswer answer) {
    return answer != null && "replica".equals(answer.targetRole());
  }
}
