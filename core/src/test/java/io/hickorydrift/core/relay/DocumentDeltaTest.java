package io.hickorydrift.core.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class DocumentDeltaTest {
  private static final int ROUTES = 800;

  private static byte[] document(int version, int changedRoute) {
    StringBuilder text = new StringBuilder("{\"version\":" + version + ",\"routes\":[");
    for (int i = 0; i < ROUTES; i++) {
      long timeoutMs = i == changedRoute ? 900 + version : 800;
      text.append("{\"name\":\"route-").append(i).append("\",\"service\":\"group-").append(i % 14);
      text.append("\",\"kind\":\"primary\",\"timeoutMs\":").append(timeoutMs).append("},");
    }
    return text.append("{}]}").toString().getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void smallChangeOfLargeDocumentIsSmall() {
    byte[] older = document(7, 3);
    byte[] newer = document(8, 500);
    byte[] delta = DocumentDelta.encode(older, newer);
    assertThat(DocumentDelta.apply(older, delta)).isEqualTo(newer);
    assertThat(delta.length).isLessThan(newer.length / 50);
  }

  @Test
  void deltaForAnotherVersionIsRejected() {
    byte[] delta = DocumentDelta.encode(document(7, 3), document(8, 3));
    assertThatThrownBy(() -> DocumentDelta.apply(document(6, 3), delta))
        .isInstanceOf(IllegalArgumentException.class);
  }

  @Provide
  Arbitrary<byte[]> documents() {
    Arbitrary<String> object =
        Arbitraries.of("{\"a\":1}", "{\"name\":\"" + "n".repeat(60) + "\"}", "{}", "}", "x", "");
    return object
        .list()
        .ofMaxSize(12)
        .map(parts -> String.join(",", parts).getBytes(StandardCharsets.UTF_8));
  }

  @Property(tries = 500, seed = "5")
  void applyingTheDeltaGivesTheNewerDocument(
      @ForAll("documents") byte[] older, @ForAll("documents") byte[] newer) {
    assertThat(DocumentDelta.apply(older, DocumentDelta.encode(older, newer))).isEqualTo(newer);
  }

  @Property(tries = 500, seed = "6")
  void damagedDeltasAreRejectedOrGiveTheNewerDocument(
      @ForAll("documents") byte[] older,
      @ForAll("documents") byte[] newer,
      @ForAll @IntRange(min = 0, max = 400) int offset,
      @ForAll byte damage) {
    byte[] delta = DocumentDelta.encode(older, newer);
    byte[] damaged = Arrays.copyOf(delta, delta.length - (damage == 0 ? 1 : 0));
    damaged[offset % damaged.length] ^= damage;
    try {
      assertThat(DocumentDelta.apply(older, damaged)).isEqualTo(newer);
    } catch (IllegalArgumentException expected) {
      assertThat(expected.getMessage()).isNotEmpty();
    }
  }
}
