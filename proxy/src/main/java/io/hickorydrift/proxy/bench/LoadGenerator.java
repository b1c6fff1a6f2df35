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
 * Callers that send requests, each at its own pace and for a bounded time.
 *
 * <p>Thread safety: confined to one thread; runs callers on threads of its own.
 */
public final class LoadGenerator {
  private static final HttpClient HTTP = CallerClient.newHttpClient();
  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * One request of a caller.
   *
   * @param address instance to call
   * @param route route to call
   * @param body what to send
   */
  public record Request(String address, String route, CallerRequest body) {}

  private LoadGenerator() {}

  /** Has {@code callers} callers with {@code key} call one after the other for {@code seconds}. */
  public static LoadResult runClosedLoop(
      int callers, double seconds, String key, IntFunction<Request> calls) throws Exception {
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
                  send(caller, calls.apply(i), result).join();
                }
              },
              threads));
    }
    running.forEach(CompletableFuture::join);
    threads.shutdown();
    result.finish((System.nanoTime() - startNanos) / NANOS_PER_SECOND);
    return result;
  }

  /** Sends {@code ratePerSecond} requests evenly for {@code seconds}, whatever the answers. */
  public static LoadResult runOpenLoop(
      double ratePerSecond, double seconds, String key, IntFunction<Request> calls) {
    LoadResult result = new LoadResult();
    AtomicLong underWay = new AtomicLong();
    long startNanos = System.nanoTime();
    int count = (int) (ratePerSecond * seconds);
    for (int i = 0; i < count; i++) {
      long dueNanos = startNanos + (long) (i / ratePerSecond * NANOS_PER_SECOND);
      while (System.nanoTime() < dueNanos) {
        LockSupport.parkNanos(dueNanos - System.nanoTime());
      }
      underWay.incrementAndGet();
      send(new CallerClient(HTTP, key), calls.apply(i), result)
          .whenComplete((done, failure) -> underWay.decrementAndGet());
    }
    while (underWay.get() > 0) {
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
