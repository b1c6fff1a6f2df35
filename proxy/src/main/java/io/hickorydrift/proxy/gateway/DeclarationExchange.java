package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.relay.DocumentDelta;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.port.PlatformAdapter;
import org.tinylog.Logger;

/**
 * Passes declarations between instances: as the difference to a version that the receiver has, or
 * whole.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class DeclarationExchange {
  // The relay of the failure domain sends a new version well within this time.
  private static final long RELAY_DELAY_NANOS = 700_000_000L;
  private static final long REQUEST_INTERVAL_NANOS = 700_000_000L;

  private final EventLoop loop;
  private final Declarations declarations;
  private final PlatformAdapter platform;
  // The last change, which a relay sends to all its subscribers alike.
  private PeerMessage change;
  private long changeBaseVersion;
  private byte[] changeTarget;
  // The version in force since when a peer has had a newer one, and that time.
  private long behindAtVersion = Long.MIN_VALUE;
  private long behindSinceNanos;
  private long requestedNanos = Long.MIN_VALUE;

  DeclarationExchange(EventLoop loop, Declarations declarations, PlatformAdapter platform) {
    this.loop = loop;
    this.declarations = declarations;
    this.platform = platform;
  }

  /** Returns the message that brings a peer which has {@code version} up to date, or null. */
  PeerMessage changeSince(long version) {
    byte[] current = declarations.storedValue();
    if (current == null || declarations.current().version() <= version) {
      return null;
    }
    byte[] base = declarations.storedValue(version);
    if (base == null) {
      return new PeerMessage.DeclarationResponse(current);
    }
    if (version != changeBaseVersion || current != changeTarget) {
      byte[] delta = DocumentDelta.encode(base, current);
      change =
          delta.length < current.length
              ? new PeerMessage.DeclarationChange(version, delta)
              : new PeerMessage.DeclarationResponse(current);
      changeBaseVersion = version;
      changeTarget = current;
    }
    return change;
  }

  /**
   * Handles the version that a peer has in force. Requests a newer one if the relay has not sent it
   * in time, from one peer at a time. Other peers that are behind too say nothing about that.
   */
  void onPeerVersion(OutboundPeerLink link, long peerVersion) {
    long nowNanos = loop.nowNanos();
    long version = declarations.current().version();
    if (peerVersion <= version) {
      return;
    }
    if (behindAtVersion != version) {
      behindAtVersion = version;
      behindSinceNanos = nowNanos;
    }
    boolean relayHadTime =
        declarations.storedValue() == null || nowNanos - behindSinceNanos >= RELAY_DELAY_NANOS;
    boolean requested =
        requestedNanos != Long.MIN_VALUE && nowNanos - requestedNanos < REQUEST_INTERVAL_NANOS;
    if (relayHadTime && !requested) {
      requestedNanos = nowNanos;
      link.send(new PeerMessage.DeclarationRequest(version));
    }
  }

  /** Applies a declaration that {@code peer} sent. */
  void onResponse(String peer, PeerMessage.DeclarationResponse response) {
    accept(peer, response.value());
  }

  /** Applies a change that {@code peer} sent; it is ignored if the own version has changed. */
  void onChange(String peer, PeerMessage.DeclarationChange change) {
    byte[] base = declarations.storedValue(change.baseVersion());
    if (base == null) {
      Logger.info("event=declaration_base_missing peer={} base={}", peer, change.baseVersion());
      return;
    }
    try {
      accept(peer, DocumentDelta.apply(base, change.delta()));
    } catch (IllegalArgumentException e) {
      Logger.warn(
          (Object)
              LogLine.format(
                  "event=declaration_change_unusable peer={} reason=\"{}\"", peer, e.getMessage()));
    }
  }

  private void accept(String peer, byte[] value) {
    try {
      declarations.accept(platform.decodeDeclaration(value), value);
    } catch (IllegalArgumentException e) {
      Logger.warn(
          (Object)
              LogLine.format(
                  "event=declaration_unreadable peer={} reason=\"{}\"", peer, e.getMessage()));
    }
  }
}
