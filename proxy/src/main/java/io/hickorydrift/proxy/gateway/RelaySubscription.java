package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.store.StorePosition;
import io.hickorydrift.proxy.net.EventLoop;
import org.tinylog.Logger;

/**
 * Subscription to the changes that the relay of the failure domain sends.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class RelaySubscription {
  private final EventLoop loop;
  private final Declarations declarations;
  private OutboundPeerLink followed;
  private long followedConnection;
  private boolean answered;
  private long awaitedSinceNanos;

  RelaySubscription(EventLoop loop, Declarations declarations) {
    this.loop = loop;
    this.declarations = declarations;
  }

  /** Subscribes at the peer of {@code link}, unless this has been done on its connection. */
  void follow(OutboundPeerLink link, StorePosition applied) {
    if (link != followed || link.connectionNumber() != followedConnection) {
      followed = link;
      followedConnection = link.connectionNumber();
      send(applied);
    }
  }

  void stop() {
    followed = null;
    answered = false;
  }

  /** Subscribes again; {@code applied} is the position that this instance has applied. */
  void renew(StorePosition applied) {
    if (followed != null) {
      send(applied);
    }
  }

  private void send(StorePosition applied) {
    Logger.info("event=relay_subscribed relay={} position={}", followed.peer(), applied);
    awaitAnswer();
    followed.send(new PeerMessage.Subscribe(applied, declarations.current().version()));
  }

  boolean isFollowing(OutboundPeerLink link) {
    return link == followed;
  }

  /** Waits for changes from the relay, which sends them without being asked again. */
  void awaitAnswer() {
    answered = false;
    awaitedSinceNanos = loop.nowNanos();
  }

  /** Records that the relay has answered, and queries the status that goes with the answer. */
  void onAnswer() {
    if (!answered) {
      answered = true;
      followed.requestStatus();
    }
  }

  boolean isAnswered() {
    return answered;
  }

  /** Returns whether the relay has not answered for {@code nanos}. */
  boolean isUnansweredFor(long nanos) {
    return !answered && loop.nowNanos() - awaitedSinceNanos > nanos;
  }
}
