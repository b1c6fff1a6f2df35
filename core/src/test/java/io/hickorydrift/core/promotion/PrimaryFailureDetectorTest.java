package io.hickorydrift.core.promotion;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.directory.Directory;
import io.hickorydrift.core.directory.GroupState;
import io.hickorydrift.core.directory.TargetEntry;
import io.hickorydrift.core.evacuation.Evacuations;
import io.hickorydrift.core.store.StorePosition;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PrimaryFailureDetectorTest {
  private final PrimaryFailureDetector detector = new PrimaryFailureDetector(1_000, 500);

  private static GroupState group(String state) {
    return group(state, new Evacuations());
  }

  private static GroupState group(String state, Evacuations evacuations) {
    Directory directory = new Directory(target -> {}, evacuations);
    boolean primary = !state.equals("none");
    directory.put(
        new TargetEntry("t0", "g", "127.0.0.1:1", "a", 3, state.equals("draining"), primary, 1, 1),
        new StorePosition(0, 5));
    directory.put(
        new TargetEntry("t1", "g", "127.0.0.1:2", "b", 3, false, false, 1, 1),
        new StorePosition(0, 6));
    return directory.group("g");
  }

  /** In {@code peers}, {@code t0=700} is a report that t0 has been unreachable for 700 ms. */
  @ParameterizedTest
  @CsvSource({
    "ready,    0,    '',                              KEEP",
    "draining, 0,    '',                              LEAVING",
    "none,     0,    '',                              ABSENT",
    "ready,    999,  't0=900 t0=900 t0=900',          KEEP",
    "ready,    1000, 't0=900 t0=900 t0=900',          DEAD",
    "ready,    5000, '',                              KEEP",
    "ready,    5000, 't0=900 t0=900 t0=0',            KEEP",
    "ready,    5000, 't0=900 t0=400 t0=100',          KEEP",
    "ready,    5000, 't1=900 t1=900 t1=900',          KEEP",
    "ready,    5000, 't1=0 t0=900 t0=900 t0=600',     DEAD",
  })
  void replacesPrimaryOnlyWithQuorumAndNoReachingPeer(
      String state, long ownMs, String peers, PrimaryVerdict expected) {
    List<PrimaryReport> reports = new ArrayList<>();
    for (String peer : peers.isEmpty() ? new String[0] : peers.split(" ")) {
      reports.add(new PrimaryReport(peer.substring(0, 2), Long.parseLong(peer.substring(3))));
    }
    assertThat(detector.evaluate(group(state), ownMs, reports, 7 - 1)).isEqualTo(expected);
  }

  /**
   * Guards against promotions that cannot succeed, and against a dead verdict for want of probes.
   */
  @ParameterizedTest
  @CsvSource({
    "ready,    '',    0,    KEEP",
    "ready,    b,     0,    KEEP",
    "ready,    a,     0,    LEAVING",
    "ready,    a,     5000, LEAVING",
    "ready,    'a b', 0,    KEEP",
    "ready,    'a b', 5000, KEEP",
    "draining, 'a b', 0,    LEAVING",
  })
  void evacuatedPrimaryLeavesIfAnotherTargetIsLeft(
      String state, String domains, long ownMs, PrimaryVerdict expected) {
    Evacuations evacuations = new Evacuations();
    for (String domain : domains.split(" ")) {
      evacuations.begin(domain, new StorePosition(0, 9), 0);
    }
    List<PrimaryReport> reports = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      reports.add(new PrimaryReport("t0", ownMs));
    }
    assertThat(detector.evaluate(group(state, evacuations), ownMs, reports, 6)).isEqualTo(expected);
  }
}
