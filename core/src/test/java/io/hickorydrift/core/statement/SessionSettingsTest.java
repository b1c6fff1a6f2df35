package io.hickorydrift.core.statement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against sessions that hold ever more, and against a refused change that took effect. */
class SessionSettingsTest {
  private static final String LONG = "x".repeat(1_000_000);

  private final TextBudget budget = new TextBudget(3 * 1024 * 1024);
  private final SessionSettings settings = new SessionSettings(budget);

  @Test
  void valuesBeyondTheNumberAllowedAreRefused() {
    for (int i = 0; i < SessionSettings.MAX_ENTRIES; i++) {
      assertThat(settings.setValue("n" + i, "")).isNull();
    }
    Map<String, String> before = Map.copyOf(settings.values());
    assertThat(settings.setValue("next", "1")).isEqualTo(FailureCode.TOO_LARGE);
    assertThat(settings.values()).isEqualTo(before);
    assertThat(settings.setValue("n0", "1")).isNull();
    assertThat(settings.values()).containsEntry("n0", "1");
  }

  @Test
  void preparedStatementsBeyondTheNumberAllowedAreRefused() {
    for (int i = 0; i < SessionSettings.MAX_ENTRIES; i++) {
      assertThat(settings.prepare("n" + i, true, "q")).isNull();
    }
    assertThat(settings.prepare("next", true, "q")).isEqualTo(FailureCode.TOO_LARGE);
    assertThat(settings.prepared()).hasSize(SessionSettings.MAX_ENTRIES).doesNotContainKey("next");
    assertThat(settings.prepare("n0", false, "q2")).isNull();
    settings.closePrepared("n1");
    assertThat(settings.prepare("next", true, "q")).isNull();
  }

  @Test
  void refusedReplacementLeavesTheFormerShape() {
    assertThat(settings.prepare("s", true, "q1")).isNull();
    assertThat(settings.prepare("t", true, LONG)).isNull();
    assertThat(settings.setValue("crew", LONG)).isNull();
    assertThat(settings.prepare("s", false, LONG)).isEqualTo(FailureCode.TOO_LARGE);
    assertThat(settings.setValue("color", LONG)).isEqualTo(FailureCode.TOO_LARGE);
    assertThat(settings.prepared().get("s")).isEqualTo(new PreparedStatement(true, "q1"));
    assertThat(settings.values()).containsOnlyKeys("crew");
    settings.closePrepared("t");
    assertThat(settings.prepare("s", false, LONG)).isNull();
  }

  @Test
  void sizeOfTheSessionIsLimitedToTheByte() {
    int overhead = (int) sizeOfEmptyEntry();
    int max = SessionSettings.MAX_BYTES - overhead;
    assertThat(settings.setValue("n", "x".repeat(max))).isEqualTo(FailureCode.TOO_LARGE);
    assertThat(settings.setValue("n", "x".repeat(max - 1))).isNull();
    assertThat(budget.usedBytes()).isEqualTo(SessionSettings.MAX_BYTES);
  }

  private static long sizeOfEmptyEntry() {
    TextBudget measured = new TextBudget(Long.MAX_VALUE);
    new SessionSettings(measured).setValue("", "");
    return measured.usedBytes();
  }

  @Test
  void sessionsOfAnInstanceShareItsMemory() {
    settings.setValue("a", LONG);
    settings.setValue("b", LONG);
    SessionSettings other = new SessionSettings(budget);
    assertThat(other.prepare("s", true, LONG)).isNull();
    assertThat(other.prepare("t", true, LONG)).isEqualTo(FailureCode.BUSY);
    assertThat(other.prepared()).containsOnlyKeys("s");
    settings.release();
    settings.release();
    assertThat(other.prepare("t", true, LONG)).isNull();
    other.release();
    assertThat(budget.usedBytes()).isZero();
    assertThat(other.prepared()).containsOnlyKeys("s", "t");
  }
}
