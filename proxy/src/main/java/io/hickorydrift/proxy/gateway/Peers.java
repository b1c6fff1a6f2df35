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
 * Manages the connections to other instances, which carry observed positions of primaries, proofs
 * that the declaration is current, rate limit tokens and forwarded statements.
 *
 * <p>Invariant: an age in a response is counted from the time of the request, so that it is never
 * underestimated. Thread safety: confined to the loop's thread.
 */
final class Peers implements OutboundPeerLink.Listener {
  private static final long PING_INTERVAL_MS = 400;
  private static final int PROOF_PROVIDERS = 3;

  private final EventLoop loop;
  private final String self;
  private final FleetMembership fleet;
  private final PlatformAdapter platform;
  private final Declarations declarations;
  private final Directory directory;
  private final PrimaryProber prober;
  private final Map<String, OutboundPeerLink> outboundLinks = new HashMap<>();
  private final HomeRouter homes;
  private final Set<InboundPeerLink> inboundLinks = new LinkedHashSet<>();
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
      PrimaryProber prober,
      HomeRouter homes) {
    this.loop = loop;
    this.self = self;
    this.fleet = fleet;
    this.platform = platform;
    this.declarations = declarations;
    this.directory = directory;
    this.prober = prober;
    this.homes = homes;
  }

  void start(
      OrganisationRateLimiter rateLimits,
      ForwardedStatementService homeService,
      StoreSync storeSync) {
    sync = storeSync;
    limits = rateLimits;
    service = homeService;
    loop.every(PING_INTERVAL_MS, this::pingAll);
  }

  /** Returns the handler of a connection that a peer opened. */
  InboundPeerLink serve(TcpChannel channel) {
    InboundPeerLink inbound = new InboundPeerLink(channel, this::onRequest, this::onInboundClosed);
    inboundLinks.add(inbound);
    return inbound;
  }

  private void onInboundClosed(InboundPeerLink inbound) {
    inboundLinks.remove(inbound);
    service.onLinkClosed(inbound);
  }

  private void pingAll() {
    if (closed) {
      return;
    }
    Map<String, String> members = new HashMap<>(fleet.otherAddresses());
    members.keySet().retainAll(homes.linkedPeers());
    outboundLinks
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
            outboundLinks.computeIfAbsent(
                peer, key -> new OutboundPeerLink(loop, self, peer, address, this)));
    outboundLinks.values().forEach(OutboundPeerLink::ping);
  }

  /**
   * Returns whether this instance queries the store often in order to provide its peers with
   * proofs. The few highest ranked of the instances that reach each other do so. An instance that
   * serves no group does not, because its peers have no links to it.
   */
  boolean providesProofs() {
    if (!homes.servesAnyGroup()) {
      return false;
    }
    List<String> liveInstances = new ArrayList<>(List.of(self));
    for (OutboundPeerLink link : outboundLinks.values()) {
      if (link.isUp() && link.lastPong().proofAgeMs() >= 0) {
        liveInstances.add(link.peer());
      }
    }
    return Rendezvous.rank("proofs", liveInstances).indexOf(self) < PROOF_PROVIDERS;
  }

  /** Returns the reports of live peers on the primary of {@code group}, by peer. */
  Map<String, PrimaryReport> primaryReports(String group) {
    Map<String, PrimaryReport> reports = new HashMap<>();
    for (OutboundPeerLink link : liveLinks()) {
      for (PeerMessage.PrimaryStatus status : link.lastPong().groups()) {
        if (status.group().equals(group)) {
          reports.put(link.peer(), new PrimaryReport(status.primary(), status.unreachableMs()));
        }
      }
    }
    return reports;
  }

  /**
   * Returns a link to a peer that reaches the primary of {@code group}, or null if this instance
   * reaches it itself or no such peer exists.
   */
  OutboundPeerLink forwardingLink(String group) {
    TargetState primary = directory.group(group).primary();
    if (primary == null || prober.unreachableMs(primary) == 0) {
      return null;
    }
    String peer = ForwardingPeers.choose(self, primary.entry().id(), primaryReports(group));
    return peer == null ? null : outboundLinks.get(peer);
  }

  /** Closes all links, including those that peers opened. */
  void close() {
    closed = true;
    outboundLinks.values().forEach(OutboundPeerLink::close);
    outboundLinks.clear();
    inboundLinks.forEach(InboundPeerLink::close);
  }

  /** Returns the link to {@code peer}, or null. */
  OutboundPeerLink link(String peer) {
    return outboundLinks.get(peer);
  }

  /** Returns the links that are up. */
  List<OutboundPeerLink> liveLinks() {
    List<OutboundPeerLink> liveLinks = new ArrayList<>();
    for (OutboundPeerLink link : outboundLinks.values()) {
      if (link.isUp()) {
        liveLinks.add(link);
      }
    }
    return liveLinks;
  }

  /** Requests tokens from {@code peer}, if there is a link to it. */
  void requestTokens(String peer, GrantRequest request) {
    OutboundPeerLink link = outboundLinks.get(peer);
    if (link != null) {
      link.send(new PeerMessage.TokenRequest(request));
    }
  }

  private void onRequest(InboundPeerLink inbound, PeerMessage request) {
    if (request instanceof PeerMessage.Ping ping) {
      inbound.send(createPong(ping));
    } else if (request instanceof PeerMessage.Forward forward) {
      service.run(inbound, forward);
    } else if (request instanceof PeerMessage.EndTransaction end) {
      service.endTransaction(inbound, end.transaction());
    } else if (request instanceof PeerMessage.TokenRequest tokenRequest) {
      limits.onTokenRequest(inbound, tokenRequest.request());
    } else if (request instanceof PeerMessage.DeclarationRequest) {
      byte[] value = declarations.storedValue();
      if (value != null) {
        inbound.send(new PeerMessage.DeclarationResponse(value));
      }
    }
  }

  private PeerMessage.Pong createPong(PeerMessage.Ping ping) {
    List<PeerMessage.PrimaryStatus> statuses = new ArrayList<>();
    for (GroupState group : directory.groups()) {
      if (!homes.mayServe(group.name(), ping.instance())) {
        continue;
      }
      Position position = group.observedPositions().latest();
      long ageMs =
          position == null
              ? 0
              : TimeUnit.NANOSECONDS.toMillis(group.observedPositions().ageNanos(loop.nowNanos()))
                  + 1;
      TargetState primary = group.primary();
      statuses.add(
          new PeerMessage.PrimaryStatus(
              group.name(),
              position,
              ageMs,
              primary == null ? "" : primary.entry().id(),
              prober.unreachableMs(primary)));
    }
    return new PeerMessage.Pong(
        ping.sequence(),
        declarations.current().version(),
        declarations.proofAgeMs(),
        sync.revision(),
        statuses);
  }

  @Override
  public void onPong(OutboundPeerLink link, PeerMessage.Pong pong, long pingNanos) {
    for (PeerMessage.PrimaryStatus status : pong.groups()) {
      if (status.position() != null) {
        directory
            .group(status.group())
            .observedPositions()
            .add(status.position(), pingNanos - TimeUnit.MILLISECONDS.toNanos(status.ageMs()));
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
    if (message instanceof PeerMessage.TokenResponse response) {
      limits.onTokenResponse(response.answer());
    } else if (message instanceof PeerMessage.DeclarationResponse response) {
      try {
        declarations.accept(platform.decodeDeclaration(response.value()), response.value());
      } catch (IllegalArgumentException e) {
        Logger.warn(
            "event=declaration_unreadable peer={} reason=\"{}\"", link.peer(), e.getMessage());
      }
    }
  }
}
