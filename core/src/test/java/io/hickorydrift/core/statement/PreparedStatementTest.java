package io.hickorydrift.core.statement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a name on target connections that reads as another name and a shape. */
class PreparedStatementTest {
  private static final String SEED = "20261206";

  @Provide
  Arbitrary<String> shapes() {
    Arbitrary<String> awkward =
        Arbitraries.of(
            "q1", "q1 WRITE yr", "yr", " q1", "q1 ", "w_q1", "", "\n", "\r", "_", "READ");
    Arbitrary<String> any = Arbitraries.strings().withCharRange('\0', 'ÿ').ofMaxLength(40);
    return Arbitraries.oneOf(awkward, any);
  }

  @Property(tries = 2_000, seed = SEED)
  void nameIsOneWordOfFixedLength(@ForAll boolean writes, @ForAll("shapes") String shape) {
    assertThat(new PreparedStatement(writes, shape).sharedName())
        .matches("[A-Za-z0-9_-]+")
        .hasSize(PreparedStatement.SHARED_NAME_LENGTH);
  }

  @Property(tries = 2_000, seed = SEED)
  void namesAreEqualIfAndOnlyIfContentsAre(
      @ForAll boolean firstWrites,
      @ForAll("shapes") String first,
      @ForAll boolean secondWrites,
      @ForAll("shapes") String second) {
    boolean sameContent = firstWrites == secondWrites && first.equals(second);
    assertThat(
            new PreparedStatement(firstWrites, first)
                .sharedName()
                .equals(new PreparedStatement(secondWrites, second).sharedName()))
        .isEqualTo(sameContent);
  }

  @Property(tries = 20, seed = SEED)
  void allShapesOfOneListHaveNamesOfTheirOwn(@ForAll("shapes") String prefix) {
    Set<String> names = new HashSet<>();
    for (int i = 0; i < 1_000; i++) {
      names.add(new PreparedStatement(true, prefix + i).sharedName());
      names.add(new PreparedStatement(false, prefix + i).sharedName());
    }
    assertThat(names).hasSize(2_000);
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 600_000, 1_048_000})
  void lengthOfTheNameDoesNotDependOnTheShape(int shapeLength) {
    for (String letter : List.of("x", "é")) {
      assertThat(new PreparedStatement(true, letter.repeat(shapeLength)).sharedName())
          .hasSize(PreparedStatement.SHARED_NAME_LENGTH);
    }
  }
}
