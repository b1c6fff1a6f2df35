package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.directory.Directory;
import io.hickorydrift.core.directory.GroupState;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.message.GrantRequest;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.placement.Rendezvous;
import io.hickorydrift.core.promotion.ForwardingPeers;
import io.hickorydrift.core.promotion.PrimaryReport;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.net.TcpChannel;
import io.hickorydrift.proxy.port.PlatformAdapter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Links to all other instances: sightings of primaries, proofs that the declaration is current, and
 * tokens travel over them.
 *
 * <p>Invariant: an age that a peer tells counts from when this instance asked, so that it is never
 * taken for younger than it is. Thread safety: confined to the loop's thread.
 */
final class Peers implements OutboundPeerLink.Listener {
  private static final long PING_MS = 400;
  private static final int PROOF_BRINGERS = 3;

  private final EventLoop loop;
  private final String self;
  private final FleetMembership fleet;
  private final PlatformAdapter platform;
  private final Declarations declarations;
  private final Directory directory;
  private final PrimaryProber watch;
  private final Map<String, OutboundPeerLink> links = new HashMap<>();
  private final HomeRouter homes;
  private final Set<InboundPeerLink> servers = new LinkedHashSet<>();
  private boolean closed;
  private OrganisationRateLimiter limits;
  private ForwardedStatementService service;
  private StoreSync sync;

  Peers(
      EventLoop loop,
      String self,
      FleetMembership fleet,
      PlatformAdapter platform,
      Declarations declarations,
      Directory directory,
      PrimaryProber watch,
      HomeRouter homes) {
    this.loop = loop;
    this.self = self;
    this.fleet = fleet;
    this.platform = platform;
    this.declarations = declarations;
    this.directory = directory;
    this.watch = watch;
    this.homes = homes;
  }

  void start(
      OrganisationRateLimiter rateLimits,
      ForwardedStatementService homeService,
      StoreSync storeSync) {
    sync = storeSync;
    limits = rateLimits;
    service = homeService;
    loop.every(PING_MS, this::ping);
  }

  /** Makes the handler of a link that a peer opened. */
  InboundPeerLink serve(TcpChannel channel) {
    InboundPeerLink server = new InboundPeerLink(channel, this::asked, this::lost);
    servers.add(server);
    return server;
  }

  private void lost(InboundPeerLink server) {
    servers.remove(server);
    service.onLinkClosed(server);
  }

  private void ping() {
    if (closed) {
      return;
    }
    Map<String, String> members = new HashMap<>(fleet.otherAddresses());
    members.keySet().retainAll(homes.linkedPeers());
    links
        .values()
        .removeIf(
            link -> {
              boolean gone = !link.address().equals(members.get(link.peer()));
              if (gone) {
                link.close();
              }
              return gone;
            });
    members.forEach(
        (peer, address) ->
            links.computeIfAbsent(
                peer, key -> new OutboundPeerLink(loop, self, peer, address, this)));
    links.values().forEach(OutboundPeerLink::ping);
  }

  /**
   * Returns whether this instance asks the store often, so that the others have proofs from it. A
   * few do, by rank among those that reach each other; others have no links to one that serves no
   * group.
   */
  boolean providesProofs() {
    if (!homes.servesAnyGroup()) {
      return false;
    }
    List<String> live = new ArrayList<>(List.of(self));
    for (OutboundPeerLink link : links.values()) {
      if (link.isUp() && link.lastPong().proofAgeMs() >= 0) {
        live.add(link.peer());
      }
    }
    return Rendezvous.rank("proofs", live).indexOf(self) < PROOF_BRINGERS;
  }

  /** Returns what the peers that answered lately say of the primary of {@code group}. */
  Map<String, PrimaryReport> primaryReports(String group) {
    Map<String, PrimaryReport> reports = new HashMap<>();
    for (OutboundPeerLink link : liveLinks()) {
      for (PeerMessage.PrimaryStatus news : link.lastPong().groups()) {
        if (news.group().equals(group)) {
          reports.put(link.peer(), new PrimaryReport(news.primary(), news.unreachableMs()));
        }
      }
    }
    return reports;
  }

  /** Returns a link to a peer that reaches the primary of {@code group}, if this one does not. */
  OutboundPeerLink relayLink(String group) {
    TargetState primary = directory.group(group).primary();
    if (primary == null || watch.unreachableMs(primary) == 0) {
      return null;
    }
    String peer = ForwardingPeers.choose(self, primary.entry().id(), primaryReports(group));
    return peer == null ? null : links.get(peer);
  }

  /** Closes all links, also those that peers opened. */
  void close() {
    closed = true;
    links.values().forEach(OutboundPeerLink::close);
    links.clear();
    servers.forEach(InboundPeerLink::close);
  }

  /** Returns the link to {@code peer}, or null. */
  OutboundPeerLink link(String peer) {
    return links.get(peer);
  }

  /** Returns the links whose peer answered lately. */
  List<OutboundPeerLink> liveLinks() {
    List<OutboundPeerLink> up = new ArrayList<>();
    for (OutboundPeerLink link : links.values()) {
      if (link.isUp()) {
        up.add(link);
      }
    }
    return up;
  }

  /** Asks {@code peer} for tokens. */
  void requestTokens(String peer, GrantRequest request) {
    OutboundPeerLink link = links.get(peer);
    if (link != null) {
      link.send(new PeerMessage.TokenRequest(request));
    }
  }

  private void asked(InboundPeerLink server, PeerMessage question) {
    if (question instanceof PeerMessage.Ping ping) {
      server.send(pong(ping));
    } else if (question instanceof PeerMessage.Forward forward) {
      service.run(server, forward);
    } else if (question instanceof PeerMessage.EndTransaction end) {
      service.endTransaction(server, end.transaction());
    } else if (question instanceof PeerMessage.TokenRequest ask) {
      limits.onTokenRequest(server, ask.request());
    } else if (question instanceof PeerMessage.DeclarationRequest) {
      byte[] value = declarations.storedValue();
      if (value != null) {
        server.send(new PeerMessage.DeclarationResponse(value));
      }
    }
  }

  private PeerMessage.Pong pong(PeerMessage.Ping ping) {
    List<PeerMessage.PrimaryStatus> news = new ArrayList<>();
    for (GroupState group : directory.groups()) {
      if (!homes.mayServe(group.name(), ping.instance())) {
        continue;
      }
      Position position = group.sightings().latest();
      long ageMs =
          position == null
              ? 0
              : TimeUnit.NANOSECONDS.toMillis(group.sightings().ageNanos(loop.nowNanos())) + 1;
      TargetState primary = group.primary();
      news.add(
          new PeerMessage.PrimaryStatus(
              group.name(),
              position,
              ageMs,
              primary == null ? "" : primary.entry().id(),
              watch.unreachableMs(primary)));
    }
    return new PeerMessage.Pong(
        ping.sequence(),
        declarations.current().version(),
        declarations.proofAgeMs(),
        sync.revision(),
        news);
  }

  @Override
  public void onPong(OutboundPeerLink link, PeerMessage.Pong pong, long pingNanos) {
    for (PeerMessage.PrimaryStatus news : pong.groups()) {
      if (news.position() != null) {
        directory
            .group(news.group())
            .sightings()
            .add(news.position(), pingNanos - TimeUnit.MILLISECONDS.toNanos(news.ageMs()));
      }
    }
    sync.onPeerRevision(pong.revision());
    long version = declarations.current().version();
    if (pong.version() > version) {
      link.send(new PeerMessage.DeclarationRequest());
    } else if (pong.version() == version && pong.proofAgeMs() >= 0) {
      declarations.confirmCurrentAt(
          pingNanos - TimeUnit.MILLISECONDS.toNanos(pong.proofAgeMs() + 1));
    }
  }

  @Override
  public void onResponse(OutboundPeerLink link, PeerMessage message) {
    if (message instanceof PeerMessage.TokenResponse give) {
      limits.onTokenResponse(give.answer());
    } else if (message instanceof PeerMessage.DeclarationResponse give) {
      try {
        declarations.accept(platform.decodeDeclaration(give.value()), give.value());
      } catch (IllegalArgumentException e) {
        Logger.warn(
            "event=declaration_unreadable peer={} reason=\"{}\"", link.peer(), e.getMessage());
      }
    }
  }
}
