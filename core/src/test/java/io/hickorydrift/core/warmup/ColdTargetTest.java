package io.hickorydrift.core.warmup;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.declaration.DeclaredGroup;
import io.hickorydrift.core.directory.Directory;
import io.hickorydrift.core.directory.TargetEntry;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.promotion.PromotionCandidates;
import io.hickorydrift.core.store.StorePosition;
import io.hickorydrift.core.warmup.ColdTargetScenario.Trouble;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Guards against more requests to a cold target than it can answer, from all instances together.
 */
class ColdTargetTest {
  private static final long SECOND_NANOS = 1_000_000_000L;
  private static final DeclaredGroup BOUNDED = new DeclaredGroup("g", 10, 0, 10_000, 3);

  /** Checks every second, wherever it begins. */
  private static void assertWithinBound(List<Long> arrivalsMs, double perSecond) {
    int capacity = Math.max(1, (int) perSecond);
    double windowMs = perSecond < 1 ? 1_000 / perSecond : 1_000;
    for (int i = 0; i + capacity < arrivalsMs.size(); i++) {
      assertThat((double) arrivalsMs.get(i + capacity) - arrivalsMs.get(i))
          .as("ms for %d requests from %d ms on", capacity + 1, arrivalsMs.get(i))
          .isGreaterThanOrEqualTo(windowMs);
    }
  }

  @Provide
  Arbitrary<Trouble> ofHomes() {
    return Arbitraries.of(
        Trouble.NONE, Trouble.HOME_MOVES, Trouble.HOME_CUT_OFF, Trouble.HOME_RESTARTS);
  }

  @Provide
  Arbitrary<Trouble> ofFleets() {
    return Arbitraries.of(
        Trouble.NONE, Trouble.HOME_RESTARTS, Trouble.FLEET_GROWS, Trouble.FLEET_SHRINKS);
  }

  @Property(tries = 400, seed = "20261204")
  void homesTogetherKeepTheBound(
      @ForAll long seed,
      @ForAll("ofHomes") Trouble trouble,
      @ForAll @DoubleRange(min = 0.3, max = 25) double perSecond,
      @ForAll @IntRange(min = 2, max = 5) int fleetSize) {
    ColdTargetScenario scenario = new ColdTargetScenario(seed, perSecond, fleetSize, false);
    assertWithinBound(scenario.run(trouble), perSecond);
  }

  @Property(tries = 200, seed = "20261204")
  void instancesWithOwnConnectionsTogetherKeepTheBound(
      @ForAll long seed,
      @ForAll("ofFleets") Trouble trouble,
      @ForAll @DoubleRange(min = 0.3, max = 25) double perSecond,
      @ForAll @IntRange(min = 2, max = 5) int fleetSize) {
    ColdTargetScenario scenario = new ColdTargetScenario(seed, perSecond, fleetSize, true);
    assertWithinBound(scenario.run(trouble), perSecond);
  }

  @Property(tries = 50, seed = "20261204")
  void mostOfTheBoundIsUsed(
      @ForAll long seed,
      @ForAll boolean direct,
      @ForAll @IntRange(min = 2, max = 25) int perSecond) {
    ColdTargetScenario scenario = new ColdTargetScenario(seed, perSecond, 3, direct);
    double possible = perSecond * (scenario.coldMs() / 1_000.0 - 2);
    assertThat((double) scenario.run(Trouble.NONE).size()).isGreaterThan(possible * 0.8);
  }

  private static TargetEntry entry(String id, long sequence, long coldRemainingMs) {
    return new TargetEntry(
        id, "g", "a:1", "z", 3, false, false, 1_000_000, sequence, coldRemainingMs);
  }

  private static TargetState target(TargetEntry... entries) {
    Directory directory = new Directory(removed -> {});
    for (TargetEntry entry : entries) {
      directory.put(entry, new StorePosition(1, entry.sequence()));
    }
    return directory.group("g").targets().iterator().next();
  }

  private static ColdTargets homeFor(TargetState target, DeclaredGroup group, long timeOfDayMs) {
    ColdTargets cold = new ColdTargets();
    cold.update(target, group, "g", group.coldPerSecond(), 0, timeOfDayMs);
    cold.update(target, group, "g", group.coldPerSecond(), 2 * SECOND_NANOS, timeOfDayMs + 2_000);
    return cold;
  }

  @Test
  void withoutDeclaredBoundNothingIsHeldBack() {
    TargetState target = target(entry("t", 1, 5_000));
    DeclaredGroup unbounded = new DeclaredGroup("g", 10, 0, 10_000, 0);
    ColdTargets cold = homeFor(target, unbounded, 1_000_000);
    assertThat(target.isCold(0)).isFalse();
    assertThat(cold.hasRoom(target, 1_000, 0)).isTrue();
  }

  @Test
  void remainingTimeCountsFromTheFirstSightOfAnEntry() {
    TargetState target = target(entry("t", 1, 5_000));
    ColdTargets cold = homeFor(target, BOUNDED, 1_000_000);
    cold.update(target, BOUNDED, "g", 3, 4 * SECOND_NANOS, 1_004_000);
    assertThat(target.isCold(4 * SECOND_NANOS)).isTrue();
    assertThat(target.isCold(5 * SECOND_NANOS)).isFalse();
  }

  /** Guards against a restarted instance that holds back callers of targets long since warm. */
  @Test
  void entryWrittenLongAgoDoesNotMakeTheTargetCold() {
    TargetState target = target(entry("t", 1, 9_000));
    homeFor(target, BOUNDED, 1_000_000 + 60_000);
    assertThat(target.isCold(0)).isFalse();
  }

  @Test
  void instanceThatIsNotTheHomeSendsNothing() {
    TargetState target = target(entry("t", 1, 5_000));
    ColdTargets cold = new ColdTargets();
    cold.update(target, BOUNDED, "g", 0, 0, 1_000_000);
    assertThat(cold.tryTake(target, 1, 3 * SECOND_NANOS)).isFalse();
  }

  /** Guards against a part that is used at once after the fleet shrank to own connections. */
  @Test
  void changeBetweenHomeAndOwnConnectionsWaits() {
    TargetState target = target(entry("t", 1, 9_000));
    ColdTargets cold = homeFor(target, BOUNDED, 1_000_000);
    long nowNanos = 2 * SECOND_NANOS;
    cold.update(target, BOUNDED, null, 1, nowNanos, 1_002_000);
    assertThat(cold.hasRoom(target, 1, nowNanos)).isFalse();
    cold.update(target, BOUNDED, null, 1, nowNanos + 2 * SECOND_NANOS, 1_004_000);
    assertThat(cold.hasRoom(target, 1, nowNanos + 2 * SECOND_NANOS)).isTrue();
    cold.update(target, BOUNDED, "g", 3, nowNanos + 2 * SECOND_NANOS, 1_004_000);
    assertThat(cold.hasRoom(target, 1, nowNanos + 2 * SECOND_NANOS)).isFalse();
  }

  @Test
  void statementsOfOpenTransactionsAreCountedButNotHeldBack() {
    TargetState target = target(entry("t", 1, 9_000));
    ColdTargets cold = homeFor(target, BOUNDED, 1_000_000);
    long nowNanos = 2 * SECOND_NANOS;
    assertThat(cold.tryTake(target, 2, nowNanos)).isTrue();
    for (int i = 0; i < 5; i++) {
      cold.record(target, nowNanos + i);
    }
    assertThat(cold.tryTake(target, 1, nowNanos + SECOND_NANOS / 2)).isFalse();
    assertThat(cold.tryTake(target, 1, nowNanos + 2 * SECOND_NANOS)).isTrue();
  }

  @Test
  void transactionNeedsRoomForItsCommit() {
    TargetState target = target(entry("t", 1, 9_000));
    ColdTargets cold = homeFor(target, BOUNDED, 1_000_000);
    long nowNanos = 2 * SECOND_NANOS;
    assertThat(cold.tryTake(target, 1, nowNanos)).isTrue();
    assertThat(cold.tryTake(target, 1, nowNanos)).isTrue();
    assertThat(cold.tryTake(target, 2, nowNanos)).isFalse();
    assertThat(cold.tryTake(target, 1, nowNanos)).isTrue();
  }

  @Test
  void requestsToDepartedTargetAreRememberedForSomeTime() {
    TargetState target = target(entry("t", 1, 9_000));
    ColdTargets cold = homeFor(target, BOUNDED, 1_000_000);
    long nowNanos = 2 * SECOND_NANOS;
    assertThat(cold.tryTake(target, 3, nowNanos)).isTrue();
    cold.record(target, nowNanos);
    cold.record(target, nowNanos);
    cold.retain(Set.of(), nowNanos + SECOND_NANOS / 2);
    assertThat(cold.hasRoom(target, 1, nowNanos + SECOND_NANOS / 2)).isFalse();
  }

  /** Guards against a countdown that counts as a change, such as of a wrong address. */
  @Test
  void countdownIsNoChangeOfAnEntry() {
    assertThat(entry("t", 1, 5_000).differsOnlyInSequence(entry("t", 2, 4_000))).isTrue();
    assertThat(entry("t", 1, 5_000).differsOnlyInSequence(entry("u", 2, 4_000))).isFalse();
  }

  @Test
  void warmTargetIsPromotedUnlessColdOneIsMoreAdvanced() {
    Directory directory = new Directory(removed -> {});
    directory.put(entry("cold", 1, 5_000), new StorePosition(1, 1));
    directory.put(entry("warm", 1, 0), new StorePosition(1, 2));
    Map<String, TargetState> byId = new LinkedHashMap<>();
    for (TargetState target : directory.group("g").targets()) {
      homeFor(target, BOUNDED, 1_000_000);
      byId.put(target.entry().id(), target);
    }
    Map<TargetState, Position> received = new LinkedHashMap<>();
    received.put(byId.get("cold"), new Position(2, 7));
    received.put(byId.get("warm"), new Position(2, 7));
    assertThat(PromotionCandidates.mostAdvanced(received, 0)).isSameAs(byId.get("warm"));
    received.put(byId.get("cold"), new Position(2, 8));
    assertThat(PromotionCandidates.mostAdvanced(received, 0)).isSameAs(byId.get("cold"));
  }
}
