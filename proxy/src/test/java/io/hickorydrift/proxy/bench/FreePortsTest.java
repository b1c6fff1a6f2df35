package io.hickorydrift.proxy.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

class FreePortsTest {
  // Start of Linux's default range of ephemeral ports.
  private static final int FIRST_EPHEMERAL_PORT = 32_768;

  @Test
  void returnsDistinctPortsBelowTheEphemeralRange() {
    Set<Integer> ports = new HashSet<>();
    for (int i = 0; i < 300; i++) {
      ports.add(FreePorts.next());
    }
    assertThat(ports).hasSize(300).allMatch(port -> port < FIRST_EPHEMERAL_PORT);
  }
}
