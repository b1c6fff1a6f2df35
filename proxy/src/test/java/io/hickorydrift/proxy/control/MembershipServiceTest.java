package io.hickorydrift.proxy.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.message.Heartbeat;
import io.hickorydrift.core.message.LeavingTargets;
import io.hickorydrift.core.session.TokenMac;
import io.hickorydrift.proxy.peer.PeerListener;
import io.hickorydrift.proxy.peer.PeerNetwork;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against an instance that has just started, has settings from a peer, and refuses requests
 * because it does not count that peer as live before its next tick.
 */
class MembershipServiceTest {
  private static final String SELF = "late";
  private static final long NOW_NANOS = 1_000;

  private PeerNetwork peers;
  private MembershipService membership;

  @BeforeEach
  void create() throws IOException {
    PeerListener ignored =
        new PeerListener() {
          @Override
          public void onMessage(String peer, Record message) {}

          @Override
          public void onLinkClosed(String peer) {}
        };
    peers =
        new PeerNetwork(
            SELF, new InetSocketAddress("127.0.0.1", 0), new TokenMac(new byte[32]), ignored);
    membership = new MembershipService(SELF, "d1", Map.of(), peers, () -> heartbeat(SELF));
  }

  @AfterEach
  void close() {
    peers.close();
  }

  private static Heartbeat heartbeat(String instance) {
    return Heartbeat.builder()
        .instance(instance)
        .run("run")
        .failureDomain("d2")
        .peerAddress("127.0.0.1:1")
        .slot(0)
        .build();
  }

  @Test
  void firstHeartbeatMakesPeerLiveBeforeNextTick() {
    assertThat(membership.onHeartbeat(heartbeat("peer"), NOW_NANOS)).isTrue();
    assertThat(membership.livePeers()).extracting(Heartbeat::instance).containsExactly("peer");
  }

  @Test
  void onlyNewPeersAreReported() {
    membership.onHeartbeat(heartbeat("peer"), NOW_NANOS);
    assertThat(membership.onHeartbeat(heartbeat("peer"), NOW_NANOS + 1)).isFalse();
    assertThat(membership.onHeartbeat(heartbeat(SELF), NOW_NANOS + 1)).isFalse();
  }

  /**
   * Guards against leaving targets that the domain is not told of until the next full resend, up to
   * 30 s later: the two lists have the same hash code.
   */
  @Test
  void changedMessageWithEqualHashCodeIsSentAtOnce() {
    LeavingTargets first = new LeavingTargets(List.of("t-1", "t-12"));
    LeavingTargets second = new LeavingTargets(List.of("t-0", "t-22"));
    assertThat(second).hasSameHashCodeAs(first);

    assertThat(membership.sendToDomainIfChanged(first, NOW_NANOS)).isTrue();
    assertThat(membership.sendToDomainIfChanged(second, NOW_NANOS + 1)).isTrue();
    assertThat(membership.sendToDomainIfChanged(second, NOW_NANOS + 2)).isFalse();
  }
}
