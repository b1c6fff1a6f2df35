package io.hickorydrift.proxy.diagnosis;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class FailureSummaryTest {
  private final FailureSummary summary = new FailureSummary();

  @Test
  void groupsFinalDecisionsByCauseWithoutNumbers() {
    summary.add(
        "12.301 gw-1 event=request id=a1 decision=failed kind=READ code=BUSY"
            + " reason=\"no primary; retry in 2500 ms\" after_ms=3");
    summary.add(
        "12.901 gw-2 event=request id=a2 decision=failed kind=READ code=BUSY"
            + " reason=\"no primary; retry in 1200 ms\" after_ms=9");
    summary.add(
        "13.100 gw-2 event=request id=a3 decision=refused organisation=red code=BUSY"
            + " reason=\"rate limit exceeded; retry in 40 ms\" version=7 proof_age_ms=3");
    summary.add("13.200 gw-2 event=request id=a4 decision=read_again target=t1 code=LAGGING");
    summary.add("13.300 gw-2 event=peer_up peer=gw-3");
    assertThat(summary.countsByCause())
        .containsEntry("failed BUSY: no primary; retry in * ms", 2)
        .containsEntry("refused BUSY: rate limit exceeded; retry in * ms", 1)
        .hasSize(2);
  }

  @Test
  void printsCausesFromTheMostFrequentAndTheirTimes() {
    for (int i = 0; i < 4; i++) {
      summary.add(
          i
              + ".5 event=request id=r"
              + i
              + " decision=failed kind=READ code="
              + (i == 0 ? "TIMEOUT" : "BUSY")
              + " reason=\"x\" after_ms=1");
    }
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    summary.print(new PrintStream(bytes, true, StandardCharsets.UTF_8));
    String text = bytes.toString(StandardCharsets.UTF_8);
    assertThat(text.indexOf("failed BUSY")).isLessThan(text.indexOf("failed TIMEOUT"));
    assertThat(text).contains("     3 s     1 #");
  }
}
