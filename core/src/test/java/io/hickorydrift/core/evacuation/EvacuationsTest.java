package io.hickorydrift.core.evacuation;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.evacuation.Evacuations.Change;
import io.hickorydrift.core.store.StorePosition;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against an evacuation that is lost, comes back, or ends open transactions at once. */
class EvacuationsTest {
  private static final long GRACE_NANOS = 2_500;

  private final Evacuations evacuations = new Evacuations();

  private static StorePosition at(long era, long revision) {
    return new StorePosition(era, revision);
  }

  @Test
  void eventsBeginAndEndAnEvacuation() {
    assertThat(evacuations.begin("a", at(0, 5), 0))
        .containsExactly(new Change("a", true, at(0, 5)));
    assertThat(evacuations.domains()).containsExactly("a");
    assertThat(evacuations.isEvacuated("b")).isFalse();
    assertThat(evacuations.end("a", at(0, 6), 0)).containsExactly(new Change("a", false, at(0, 6)));
    assertThat(evacuations.domains()).isEmpty();
  }

  @Test
  void olderAndRepeatedEventsChangeNothing() {
    evacuations.begin("a", at(0, 5), 0);
    evacuations.end("a", at(0, 6), 0);
    assertThat(evacuations.begin("a", at(0, 5), 0)).isEmpty();
    assertThat(evacuations.end("a", at(0, 6), 0)).isEmpty();
    assertThat(evacuations.isEvacuated("a")).isFalse();
  }

  @Test
  void snapshotReplacesTheSet() {
    evacuations.begin("a", at(0, 5), 0);
    assertThat(evacuations.replaceAll(Map.of("b", at(0, 7)), at(0, 9), 0))
        .containsExactlyInAnyOrder(
            new Change("a", false, at(0, 9)), new Change("b", true, at(0, 7)));
    assertThat(evacuations.domains()).containsExactly("b");
  }

  @Test
  void snapshotOlderThanAnEventOrSnapshotIsIgnored() {
    evacuations.begin("a", at(0, 5), 0);
    assertThat(evacuations.replaceAll(Map.of(), at(0, 4), 0)).isEmpty();
    assertThat(evacuations.domains()).containsExactly("a");
    evacuations.replaceAll(Map.of(), at(0, 8), 0);
    assertThat(evacuations.replaceAll(Map.of("a", at(0, 5)), at(0, 7), 0)).isEmpty();
    assertThat(evacuations.begin("a", at(0, 5), 0)).isEmpty();
    assertThat(evacuations.domains()).isEmpty();
  }

  /** A restored store may hold less than before; what its copy lacks counts as withdrawn. */
  @Test
  void snapshotOfNewEraReplacesTheSetAtLowerRevision() {
    evacuations.begin("a", at(1, 500), 0);
    evacuations.replaceAll(Map.of("b", at(2, 3)), at(2, 10), 0);
    assertThat(evacuations.domains()).containsExactly("b");
  }

  @Test
  void graceCountsFromTheFirstNewsOfTheEvacuation() {
    evacuations.begin("a", at(0, 5), 100);
    evacuations.begin("a", at(0, 6), 2_000);
    evacuations.replaceAll(Map.of("a", at(0, 6)), at(0, 9), 2_500);
    assertThat(evacuations.isOverdue("a", GRACE_NANOS, 2_599)).isFalse();
    assertThat(evacuations.isOverdue("a", GRACE_NANOS, 2_600)).isTrue();
    assertThat(evacuations.isOverdue("b", GRACE_NANOS, 9_000)).isFalse();
    evacuations.end("a", at(0, 10), 2_700);
    assertThat(evacuations.isOverdue("a", GRACE_NANOS, 9_000)).isFalse();
    evacuations.begin("a", at(0, 11), 9_000);
    assertThat(evacuations.isOverdue("a", GRACE_NANOS, 9_001)).isFalse();
  }

  @Test
  void endedEvacuationsAreForgottenOldestFirst() {
    for (int i = 0; i <= 1_000; i++) {
      evacuations.begin("d" + i, at(0, 2 * i + 1), 0);
      evacuations.end("d" + i, at(0, 2 * i + 2), 0);
    }
    evacuations.begin("still", at(0, 5_000), 0);
    assertThat(evacuations.begin("d1", at(0, 3), 0)).isEmpty();
    assertThat(evacuations.domains()).isEqualTo(Set.of("still"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", " ", "a b", "a\n", "\u0000"})
  void malformedNamesAreInvalid(String name) {
    assertThat(Evacuations.isValidName(name)).isFalse();
  }

  @ParameterizedTest
  @ValueSource(strings = {"zone-0", "eu/1", "a.b_c"})
  void usualNamesAreValid(String name) {
    assertThat(Evacuations.isValidName(name)).isTrue();
  }

  @Test
  void overlongNameIsInvalid() {
    assertThat(Evacuations.isValidName("a".repeat(256))).isFalse();
  }
}
