package io.hickorydrift.proxy.bench;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

class FreePortsTest {
  // Start of Linux's default range of ephemeral ports.
  private static final int FIRST_EPHEMERAL_PORT = 32_768;
  private static final int BLOCK_SIZE = 200;

  @Test
  void returnsDistinctPortsBelowTheEphemeralRange() {
    Set<Integer> ports = new HashSet<>();
    for (int i = 0; i < 300; i++) {
      ports.add(FreePorts.next());
    }
    assertThat(ports).hasSize(300).allMatch(port -> port < FIRST_EPHEMERAL_PORT);
  }

  /** Guards against a port that a concurrent process chooses as well before it is bound. */
  @Test
  void portsAreInBlocksThatNoOtherProcessCanClaim() {
    int port = FreePorts.next();
    int claim = port - port % BLOCK_SIZE;
    assertThat(port).isNotEqualTo(claim);
    assertThatThrownBy(() -> new ServerSocket(claim, 1, InetAddress.getLoopbackAddress()).close())
        .isInstanceOf(IOException.class);
  }
}
