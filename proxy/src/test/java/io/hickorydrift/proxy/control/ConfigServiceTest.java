package io.hickorydrift.proxy.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.message.ConfigEntries;
import io.hickorydrift.core.message.ConfigEntry;
import io.hickorydrift.core.message.SectionChange;
import io.hickorydrift.proxy.platform.PlatformClient;
import io.hickorydrift.proxy.runtime.TimerService;
import io.hickorydrift.proxy.runtime.Worker;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that are authorized by settings whose rate limits are not set yet, and
 * are therefore refused.
 */
class ConfigServiceTest {
  private static final long TIMEOUT_S = 30;

  @Test
  void settingsAreVisibleOnlyAfterTheirRateLimitsAreSet() throws Exception {
    HttpClient httpClient = new HttpClient();
    CompletableFuture<Long> entryDuringChange = new CompletableFuture<>();
    AtomicReference<ConfigService> config = new AtomicReference<>();
    httpClient.start();
    try (Worker worker = new Worker("control", 64);
        TimerService timer = new TimerService()) {
      config.set(
          new ConfigService(
              worker,
              new PlatformClient(httpClient, "127.0.0.1:1"),
              null,
              timer,
              0,
              message -> {},
              settings -> entryDuringChange.complete(config.get().settings().entry())));
      Map<String, String> values = Map.of("rate_per_s", "9", "burst", "9");
      SectionChange change = new SectionChange("organisation o", values);
      config
          .get()
          .onEntries(
              new ConfigEntries(List.of(new ConfigEntry(1, "team", 0, "c", List.of(change)))));
      assertThat(entryDuringChange.get(TIMEOUT_S, TimeUnit.SECONDS)).isZero();
      CompletableFuture<Long> entryAfterChange = new CompletableFuture<>();
      worker.submit(() -> entryAfterChange.complete(config.get().settings().entry()));
      assertThat(entryAfterChange.get(TIMEOUT_S, TimeUnit.SECONDS)).isEqualTo(1);
    } finally {
      httpClient.stop();
    }
  }
}
