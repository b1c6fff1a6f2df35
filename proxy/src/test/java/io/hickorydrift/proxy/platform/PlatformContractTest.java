package io.hickorydrift.proxy.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.hickorydrift.core.message.ListedMachine;
import io.hickorydrift.core.message.StoredValue;
import io.hickorydrift.standin.platform.PlatformFaults;
import io.hickorydrift.standin.platform.PlatformStandin;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What instances rely on in the platform's service. */
class PlatformContractTest {
  private HttpClient http;
  private PlatformStandin platform;
  private PlatformClient client;

  @BeforeEach
  void start() throws Exception {
    http = new HttpClient();
    http.start();
    platform = new PlatformStandin("127.0.0.1", 0, 0).start();
    client = new PlatformClient(http, platform.address());
  }

  @AfterEach
  void stop() throws Exception {
    platform.close();
    http.stop();
  }

  @Test
  void valueIsCreatedOnceAndChangedOnlyAtItsVersion() {
    assertThat(client.get("k").join()).isNull();
    StoredValue created = client.compareAndSwap("k", "one", 0).join();
    assertThat(client.compareAndSwap("k", "other", 0).join()).isNull();
    StoredValue changed = client.compareAndSwap("k", "two", created.version()).join();
    assertThat(client.compareAndSwap("k", "three", created.version()).join()).isNull();
    assertThat(client.get("k").join()).isEqualTo(changed);
  }

  @Test
  void ofManyWritersOneWins() {
    List<CompletableFuture<StoredValue>> writers = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      writers.add(client.compareAndSwap("race", "w" + i, 0));
    }
    long winners = writers.stream().map(CompletableFuture::join).filter(v -> v != null).count();
    assertThat(winners).isEqualTo(1);
  }

  @Test
  void watchEndsWithTheChangeOrItsTime() {
    CompletableFuture<StoredValue> watch = client.watch("w", 0, 5_000);
    StoredValue created = client.compareAndSwap("w", "one", 0).join();
    assertThat(watch.join()).isEqualTo(created);
    assertThat(client.watch("w", created.version(), 50).join()).isEqualTo(created);
    assertThat(client.watch("none", 0, 50).join()).isNull();
  }

  @Test
  void duringAnOutageCallsFail() {
    platform.setFaults(new PlatformFaults(true, 0, false));
    assertThatThrownBy(() -> client.get("k").join())
        .isInstanceOf(CompletionException.class)
        .hasCauseInstanceOf(PlatformException.class);
    platform.setFaults(PlatformFaults.NONE);
    assertThat(client.get("k").join()).isNull();
  }

  @Test
  void writeWhoseAnswerIsLostHasTakenEffect() {
    platform.setFaults(new PlatformFaults(false, 0, true));
    assertThatThrownBy(() -> client.compareAndSwap("k", "one", 0).join())
        .isInstanceOf(CompletionException.class);
    platform.setFaults(PlatformFaults.NONE);
    assertThat(client.get("k").join().value()).isEqualTo("one");
  }

  @Test
  void listNamesLiveAndLeavingMachinesAndCallsAreCounted() {
    platform.updateMachine("t", new ListedMachine("t", "127.0.0.1:1", "d", false));
    platform.updateMachine("t", new ListedMachine("t", "127.0.0.1:1", "d", true));
    platform.updateMachine("u", new ListedMachine("u", "127.0.0.1:2", "d", false));
    platform.updateMachine("u", null);
    assertThat(client.listMachines().join())
        .containsExactly(new ListedMachine("t", "127.0.0.1:1", "d", true));
    assertThat(platform.callCounts()).containsEntry("list", 1L);
  }
}
