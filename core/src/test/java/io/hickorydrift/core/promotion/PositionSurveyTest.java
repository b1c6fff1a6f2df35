package io.hickorydrift.core.promotion;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.directory.Directory;
import io.hickorydrift.core.directory.TargetEntry;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.store.StorePosition;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class PositionSurveyTest {
  private static final Position POSITION = new Position(3, 7);

  private static List<TargetState> targets(int count) {
    Directory directory = new Directory(target -> {});
    for (int i = 0; i < count; i++) {
      directory.put(
          new TargetEntry("t" + i, "g", "a:1", "z", 3, false, false, 1, 1),
          new StorePosition(0, 1));
    }
    return new ArrayList<>(directory.group("g").targets());
  }

  @Test
  void concludesWithTheLastReport() {
    List<TargetState> targets = targets(2);
    PositionSurvey survey = new PositionSurvey(targets);
    assertThat(survey.report(targets.get(0), POSITION)).isFalse();
    assertThat(survey.report(targets.get(1), null)).isTrue();
    assertThat(survey.conclude()).isFalse();
    assertThat(survey.received()).containsOnlyKeys(targets.get(0));
  }

  @Test
  void reportsAfterTheTimeoutChangeNothing() {
    List<TargetState> targets = targets(2);
    PositionSurvey survey = new PositionSurvey(targets);
    assertThat(survey.conclude()).isTrue();
    assertThat(survey.report(targets.get(0), POSITION)).isFalse();
    assertThat(survey.received()).isEmpty();
  }

  @Property(tries = 300, seed = "11")
  void concludesExactlyOnceForAnyOrderOfReports(
      @ForAll @IntRange(min = 0, max = 4) int count,
      @ForAll List<@IntRange(min = 0, max = 5) Integer> order) {
    List<TargetState> targets = targets(count);
    PositionSurvey survey = new PositionSurvey(targets);
    int conclusions = 0;
    for (int event : order) {
      boolean concluded =
          event < count ? survey.report(targets.get(event), POSITION) : survey.conclude();
      conclusions += concluded ? 1 : 0;
    }
    conclusions += survey.conclude() ? 1 : 0;
    assertThat(conclusions).isEqualTo(1);
  }
}
