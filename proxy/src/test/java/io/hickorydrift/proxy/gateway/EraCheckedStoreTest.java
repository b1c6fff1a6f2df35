package io.hickorydrift.proxy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.proxy.metrics.Metrics;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.port.KeyValueStore;
import io.hickorydrift.proxy.port.KeyValueStore.Status;
import io.hickorydrift.proxy.port.KeyValueStore.UpdateResult;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests answers of the store that name no era, a newer or an older one. */
class EraCheckedStoreTest {
  private final RecordingStore calls = new RecordingStore();
  private final StoreEra era = new StoreEra();
  private final EraCheckedStore store =
      new EraCheckedStore(calls, era, new StartSteps(new EventLoop(), new Metrics()));
  private final List<String> events = new ArrayList<>();

  @BeforeEach
  void listen() {
    calls.immediate = true;
    era.addListener(source -> events.add(source + " " + era.current()));
  }

  private UpdateResult answer(long answeredEra) {
    calls.era = answeredEra;
    List<UpdateResult> results = new ArrayList<>();
    store.grantLease(
        1_000,
        result -> {
          events.add("answer");
          results.add(result);
        });
    return results.get(0);
  }

  @Test
  void firstEraIsNoRestore() {
    assertThat(answer(7).era()).isEqualTo(7);
    assertThat(events).containsExactly("answer");
  }

  @Test
  void peerThatKnowsNoEraDoesNotMakeTheFirstOneRestore() {
    era.observe(0, StoreEra.Source.PEER);
    answer(7);
    assertThat(events).containsExactly("answer");
  }

  @Test
  void listenersRunBeforeTheAnswerThatNamesNewEra() {
    answer(7);
    events.clear();
    assertThat(answer(8).status()).isEqualTo(Status.OK);
    assertThat(events).containsExactly("STORE 8", "answer");
  }

  @Test
  void headerThatBeginsWithTheRestoreIsNewEra() {
    answer(KeyValueStore.NO_ERA);
    answer(1);
    assertThat(events).containsExactly("answer", "STORE 1", "answer");
  }

  @Test
  void answerOfOlderEraCountsAsNoAnswer() {
    answer(7);
    era.observe(9, StoreEra.Source.PEER);
    assertThat(answer(8)).isEqualTo(new UpdateResult(Status.UNKNOWN, 0, 9));
    assertThat(era.current()).isEqualTo(9);
  }

  @Test
  void answerWithoutEraIsOfTheNewestKnown() {
    answer(7);
    assertThat(answer(KeyValueStore.NO_ERA).era()).isEqualTo(7);
    assertThat(answer(KeyValueStore.NO_ERA).status()).isEqualTo(Status.OK);
  }
}
