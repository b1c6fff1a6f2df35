package io.hickorydrift.proxy.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

class FreePortsTest {
  // The system's default for outgoing connections.
  private static final int FIRST_OUTGOING = 32_768;

  @Test
  void givesDistinctPortsThatNoOutgoingConnectionTakes() {
    Set<Integer> ports = new HashSet<>();
    for (int i = 0; i < 300; i++) {
      ports.add(FreePorts.next());
    }
    assertThat(ports).hasSize(300).allMatch(port -> port < FIRST_OUTGOING);
  }
}
