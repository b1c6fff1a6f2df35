package io.hickorydrift.schema;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that the committed records match the schema. */
class RecordGeneratorTest {
  private static final Path COMMITTED =
      Path.of("../core/src/main/java/io/hickorydrift/core/message");

  @Test
  void committedRecordsMatchTheSchema() throws IOException {
    Map<String, String> committed = new TreeMap<>();
    try (Stream<Path> files = Files.list(COMMITTED)) {
      for (Path file : files.toList()) {
        committed.put(file.getFileName().toString(), Files.readString(file));
      }
    }
    assertThat(committed)
        .as("run: mvn -q -pl schema compile exec:java")
        .isEqualTo(new RecordGenerator(Path.of("messages.json")).generate());
  }
}
