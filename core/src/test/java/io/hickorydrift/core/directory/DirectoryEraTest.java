package io.hickorydrift.core.directory;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.store.StorePosition;
import org.junit.jupiter.api.Test;

/** Tests entries of targets that are read again after a restore of the store. */
class DirectoryEraTest {
  private final Directory directory = new Directory(target -> {});

  private boolean put(String id, boolean primary, long born, long sequence, long era, long rev) {
    TargetEntry entry =
        new TargetEntry(id, "g", "127.0.0.1:1", "z", 3, false, primary, born, sequence);
    return directory.put(entry, new StorePosition(era, rev));
  }

  private String primary() {
    return directory.group("g").primary().entry().id();
  }

  @Test
  void copyDoesNotBringBackTheEarlierPrimary() {
    put("a", true, 1, 5, 3, 50);
    put("a", false, 1, 6, 3, 90);
    put("b", true, 1, 9, 3, 91);
    assertThat(put("a", true, 1, 5, 4, 50)).isFalse();
    assertThat(put("b", false, 1, 8, 4, 60)).isFalse();
    assertThat(primary()).isEqualTo("b");
  }

  @Test
  void primaryOfTheNewEraIsLaterAtLowerRevision() {
    put("a", true, 1, 5, 3, 90);
    put("b", false, 1, 5, 3, 91);
    put("b", true, 1, 6, 4, 20);
    assertThat(primary()).isEqualTo("b");
  }

  @Test
  void copyDoesNotBringBackDepartedTarget() {
    put("a", false, 1, 5, 3, 50);
    directory.remove("a");
    assertThat(put("a", false, 1, 5, 4, 40)).isFalse();
    assertThat(put("a", false, 1, 4, 4, 41)).isFalse();
    assertThat(directory.entries()).isEmpty();
  }

  @Test
  void departedTargetThatStartsOrWritesAgainIsBack() {
    put("a", false, 1, 5, 3, 50);
    put("b", false, 1, 5, 3, 51);
    directory.remove("a");
    directory.remove("b");
    assertThat(put("a", false, 2, 1, 4, 40)).isTrue();
    assertThat(put("b", false, 1, 6, 4, 41)).isTrue();
    assertThat(directory.entries()).hasSize(2);
  }

  @Test
  void entryThatVanishedInTheRestoreIsBackAsItWas() {
    put("a", false, 1, 5, 3, 50);
    directory.forget("a");
    assertThat(put("a", false, 1, 5, 4, 40)).isTrue();
  }

  @Test
  void withinAnEraTheRevisionDecides() {
    put("a", false, 7, 5, 3, 50);
    assertThat(put("a", true, 7, 1, 3, 51)).isTrue();
    directory.remove("a");
    assertThat(put("a", true, 7, 1, 3, 52)).isTrue();
  }
}
