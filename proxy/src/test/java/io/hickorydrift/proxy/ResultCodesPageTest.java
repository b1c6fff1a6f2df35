package io.hickorydrift.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.error.ResultCode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Checks that the documentation page of result codes matches {@link ResultCode}. */
class ResultCodesPageTest {
  @Test
  void pageMatchesResultCodes() throws IOException {
    String page = Files.readString(Path.of("../docs/RESULT_CODES.md"));
    Set<Integer> numbers = new HashSet<>();
    for (ResultCode code : ResultCode.values()) {
      assertThat(numbers.add(code.number())).as("result code number is unique").isTrue();
      assertThat(page)
          .contains(
              "| %d | %s | %d | %s | %s |"
                  .formatted(
                      code.number(),
                      code.name(),
                      code.httpStatus(),
                      code.outcome(),
                      code.meaning()));
    }
    assertThat(page.lines().filter(line -> line.matches("\\| [0-9].*")).count())
        .isEqualTo(ResultCode.values().length);
  }
}
