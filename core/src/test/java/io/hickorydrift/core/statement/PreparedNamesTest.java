package io.hickorydrift.core.statement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against names that grow without bound, and against a name closed while in use. */
class PreparedNamesTest {
  private final PreparedNames names = new PreparedNames();

  private void fill() {
    for (int i = 0; i < PreparedNames.MAX_NAMES; i++) {
      assertThat(names.add("n" + i)).isNull();
    }
  }

  @Test
  void leastRecentlyUsedNameIsClosedAtTheLimit() {
    fill();
    assertThat(names.use("n0")).isTrue();
    assertThat(names.add("next")).isEqualTo("n1");
    assertThat(names.use("n1")).isFalse();
    assertThat(names.use("n0")).isTrue();
    assertThat(names.use("next")).isTrue();
  }

  @Test
  void removedNameLeavesRoom() {
    fill();
    names.remove("n7");
    assertThat(names.use("n7")).isFalse();
    assertThat(names.add("next")).isNull();
    assertThat(names.add("further")).isEqualTo("n0");
  }

  @Test
  void nothingIsPreparedAfterClear() {
    fill();
    names.clear();
    assertThat(names.use("n3")).isFalse();
    assertThat(names.add("n3")).isNull();
  }
}
