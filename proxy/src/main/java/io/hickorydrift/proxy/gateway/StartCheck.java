package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.StartConfirmation;
import io.hickorydrift.proxy.net.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Asks the peers of an instance that has started whether the declaration that the store shows is
 * current, until {@link StartConfirmation} no longer requires it.
 *
 * <p>Only an instance that watches the store is linked to the relays of all failure domains, and
 * may conclude that no peer has earlier knowledge; the others wait for the proof of a peer.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class StartCheck {
  // Short beside the time in which an instance starts.
  private static final long TICK_MS = 20;
  // Several round trips within a region; the first answers are those of pings at connection.
  private static final long ASK_INTERVAL_MS = 100;

  private final EventLoop loop;
  private final Declarations declarations;
  private final FleetMembership fleet;
  private final Peers peers;
  private final StoreSync sync;
  private long startNanos;
  private long askedNanos;

  StartCheck(
      EventLoop loop,
      Declarations declarations,
      FleetMembership fleet,
      Peers peers,
      StoreSync sync) {
    this.loop = loop;
    this.declarations = declarations;
    this.fleet = fleet;
    this.peers = peers;
    this.sync = sync;
  }

  void start() {
    startNanos = loop.nowNanos();
    askedNanos = startNanos;
    declarations.onStart();
    tick();
  }

  private void tick() {
    if (declarations.startConfirmation().isAwaited() && sync.loaded()) {
      check(loop.nowNanos());
    }
    if (declarations.startConfirmation().isAwaited()) {
      loop.after(TICK_MS, this::tick);
    } else {
      declarations.onStartConfirmed();
      Logger.info(
          "event=start_confirmed version={} proof_age_ms={} after_ms={}",
          declarations.current().version(),
          declarations.proofAgeMs(),
          TimeUnit.NANOSECONDS.toMillis(loop.nowNanos() - startNanos));
    }
  }

  private void check(long nowNanos) {
    StartConfirmation confirmation = declarations.startConfirmation();
    confirmation.update(fleet.otherAddresses().isEmpty(), nowNanos);
    if (sync.isWatching()) {
      confirmation.onAnswers(answers(), nowNanos);
    }
    if (nowNanos - askedNanos >= TimeUnit.MILLISECONDS.toNanos(ASK_INTERVAL_MS)) {
      askedNanos = nowNanos;
      peers.updateLinks();
    }
  }

  private List<StartConfirmation.Peer> answers() {
    List<StartConfirmation.Peer> answers = new ArrayList<>();
    for (String relay : peers.linkedRelays()) {
      OutboundPeerLink link = peers.link(relay);
      if (link == null || !link.isUp()) {
        answers.add(StartConfirmation.Peer.SILENT);
      } else {
        boolean started = link.lastPong().proofAgeMs() == PeerMessage.Pong.STARTED;
        answers.add(started ? StartConfirmation.Peer.STARTED : StartConfirmation.Peer.RUNNING);
      }
    }
    return answers;
  }
}
