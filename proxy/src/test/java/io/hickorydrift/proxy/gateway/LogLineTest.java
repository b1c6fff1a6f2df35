package io.hickorydrift.proxy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a text of a caller, a target or the operator that forges a log line or a key. */
class LogLineTest {
  private static final String SEED = "20261206";
  private static final Pattern PAIR =
      Pattern.compile("([a-z_]+)=(\"(?:[^\"\\\\]|\\\\.)*\"|[^ \"=]+)(?: |$)");

  @Provide
  Arbitrary<String> texts() {
    Arbitrary<String> awkward =
        Arbitraries.of("", " ", "\"", "\\", "\\\"", "\n", "\r\n", "{}", "a=b", "x\" code=OK", "-");
    Arbitrary<String> any = Arbitraries.strings().withCharRange('\0', 'ÿ').ofMaxLength(20);
    return Arbitraries.oneOf(awkward, any).list().ofMaxSize(3).map(parts -> String.join("", parts));
  }

  @Property(tries = 5_000, seed = SEED)
  void lineHasTheKeysOfItsFormatAndNoOthers(
      @ForAll("texts") String id, @ForAll("texts") String name, @ForAll("texts") String reason) {
    String line =
        RequestLog.decisionLine(id, "organisation={} reason=\"{}\" last={}", name, reason, 7);
    assertThat(line.chars()).noneMatch(Character::isISOControl);
    List<String> keys = new ArrayList<>();
    Matcher pairs = PAIR.matcher(line);
    int end = 0;
    while (pairs.find()) {
      assertThat(pairs.start()).isEqualTo(end);
      end = pairs.end();
      keys.add(pairs.group(1));
    }
    assertThat(end).isEqualTo(line.length());
    assertThat(keys).containsExactly("event", "id", "organisation", "reason", "last");
  }

  @ParameterizedTest
  @CsvSource(
      quoteCharacter = '\'',
      value = {
        "5c0e7a, id=5c0e7a r=\"5c0e7a\"",
        "'', 'id=\"\" r=\"\"'",
        "a b, 'id=\"a b\" r=\"a b\"'",
        "a=b, 'id=\"a=b\" r=\"a=b\"'",
        "{}, id={} r=\"{}\"",
        "\", id=\"\\\"\" r=\"\\\"\""
      })
  void onlyPlainWordsStandWithoutQuotes(String value, String line) {
    assertThat(LogLine.format("id={} r=\"{}\"", value, value)).isEqualTo(line);
  }

  @Test
  void lineEndsAreEscaped() {
    assertThat(LogLine.format("id={}", "x\r\nevent=start")).isEqualTo("id=\"x\\r\\nevent=start\"");
  }
}
