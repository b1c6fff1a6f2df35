package io.hickorydrift.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class StatementWindowTest {
  private static final int SLOTS = 4;
  private static final long MS = 1_000_000L;

  private final StatementWindow window = new StatementWindow(SLOTS);

  private void fill() {
    while (window.hasRoom()) {
      window.take();
    }
  }

  @Test
  void startsWithTwoMoreThanTheSlots() {
    fill();
    assertThat(window.inFlight()).isEqualTo(SLOTS + 2);
  }

  /**
   * Guards against a window that is too small for the round trip, or larger than twice the slots.
   */
  @Test
  void quickAnswersOfFullWindowEnlargeItToTwiceTheSlots() {
    fill();
    for (int i = 0; i < SLOTS + 2; i++) {
      window.recordAnswer(5 * MS);
    }
    assertThat(window.size()).isEqualTo(SLOTS + 3);
    for (int i = 0; i < 100; i++) {
      fill();
      window.recordAnswer(5 * MS);
    }
    assertThat(window.size()).isEqualTo(2 * SLOTS);
  }

  /** Guards against growth while answers are slow, or while the window is not needed. */
  @Test
  void slowAnswersAndUnusedPlacesDoNotEnlargeIt() {
    window.recordAnswer(5 * MS);
    for (int i = 0; i < 100; i++) {
      window.recordAnswer(5 * MS);
    }
    fill();
    for (int i = 0; i < 20; i++) {
      window.recordAnswer(5 * MS);
      window.recordAnswer(100 * MS);
    }
    assertThat(window.size()).isLessThanOrEqualTo(SLOTS + 3);
  }

  /** Guards against a window that shrinks until the slots are idle. */
  @Test
  void refusalsReduceItToTheSlots() {
    window.recordBusy();
    assertThat(window.size()).isEqualTo(SLOTS + 1);
    for (int i = 0; i < 10; i++) {
      window.recordBusy();
    }
    assertThat(window.size()).isEqualTo(SLOTS);
    window.setSlots(2);
    assertThat(window.size()).isEqualTo(4);
  }

  /** Guards against a place that is given back twice. */
  @Test
  void givingBackMoreThanWasTakenIsAnError() {
    assertThatThrownBy(window::giveBack).isInstanceOf(IllegalStateException.class);
  }

  @Property(seed = "4711", tries = 200)
  void sizeStaysWithinItsBounds(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    Random random = new Random(seed);
    int slots = 1 + random.nextInt(8);
    StatementWindow any = new StatementWindow(slots);
    for (int i = 0; i < 500; i++) {
      if (random.nextInt(20) == 0) {
        slots = 1 + random.nextInt(8);
        any.setSlots(slots);
      } else if (random.nextInt(10) == 0) {
        any.recordBusy();
      } else if (any.hasRoom()) {
        any.take();
      } else {
        any.recordAnswer(random.nextInt(20) * MS);
        any.giveBack();
      }
      assertThat(any.size()).isBetween(slots, 2 * slots);
    }
  }

  /** Guards against an organisation whose flood fills the target's own queue. */
  @Test
  void placesBeyondTheBusySlotsAreNotForAnOrganisationWithHalfOfTheSlots() {
    StatementWindow window = new StatementWindow(4);
    for (int i = 0; i < 100; i++) {
      while (window.hasRoom()) {
        window.take();
      }
      window.recordAnswer(1_000_000);
    }
    assertThat(window.size()).isEqualTo(8);
    while (window.hasRoom()) {
      window.take();
    }
    assertThat(window.hasRoomFor(0)).isFalse();
    window.giveBack();
    assertThat(window.hasRoomFor(1)).isTrue();
    assertThat(window.hasRoomFor(2)).isFalse();
    window.giveBack();
    assertThat(window.hasRoomFor(2)).isFalse();
    window.giveBack();
    assertThat(window.hasRoomFor(8)).isTrue();
  }
}
