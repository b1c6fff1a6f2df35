package io.hickorydrift.core.promotion;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

class ForwardingPeersTest {
  @Test
  void takesOnlyPeersThatReachTheSamePrimary() {
    Map<String, PrimaryReport> reports = new HashMap<>();
    reports.put("gw-1", new PrimaryReport("t0", 300));
    reports.put("gw-2", new PrimaryReport("t1", 0));
    assertThat(ForwardingPeers.choose("gw-0", "t0", reports)).isNull();
    reports.put("gw-3", new PrimaryReport("t0", 0));
    assertThat(ForwardingPeers.choose("gw-0", "t0", reports)).isEqualTo("gw-3");
  }

  @Test
  void instancesSpreadOverThePeers() {
    Map<String, PrimaryReport> reports = new HashMap<>();
    for (int i = 0; i < 4; i++) {
      reports.put("gw-" + i, new PrimaryReport("t0", 0));
    }
    Set<String> chosen = new TreeSet<>();
    for (int i = 4; i < 40; i++) {
      chosen.add(ForwardingPeers.choose("gw-" + i, "t0", reports));
    }
    assertThat(chosen).hasSize(4);
  }
}
