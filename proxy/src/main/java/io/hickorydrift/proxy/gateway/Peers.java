package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.directory.Directory;
import io.hickorydrift.core.directory.GroupState;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.limit.RateLimitAction;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.placement.Rendezvous;
import io.hickorydrift.core.promotion.ForwardingPeers;
import io.hickorydrift.core.promotion.PrimaryReport;
import io.hickorydrift.core.relay.RelaySelection;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.net.TcpChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Manages the connections to other instances, which carry observed positions of primaries, proofs
 * that the declaration is current, rate limit tokens and forwarded statements.
 *
 * <p>Invariant: an age in a response is counted from the time of the request, so that it is never
 * underestimated. Thread safety: confined to the loop's thread.
 */
final class Peers implements OutboundPeerLink.Listener {
  private static final long HEARTBEAT_INTERVAL_MS = 400;
  private static final int PROOF_PROVIDERS = 2;
  // Of a fleet that lost an eighth of its members, 8 others have all started with a probability of
  // 6e-8; the links exist for a second or two.
  private static final int ASKED_AT_START = 8;
  // Time for a relay to read the store after a restore.
  private static final long ERA_GRACE_NANOS = 900_000_000L;
  // For how long other targets are preferred to one that a peer cannot reach.
  private static final long AVOID_UNREACHABLE_NANOS = 600_000_000L;

  private final EventLoop loop;
  private final PeerTraffic traffic;
  private final String self;
  private final FleetMembership fleet;
  private final Declarations declarations;
  private final DeclarationExchange declarationExchange;
  private final Directory directory;
  private final TargetPools pools;
  private final PrimaryProber prober;
  private final Map<String, OutboundPeerLink> outboundLinks = new HashMap<>();
  private final HomeRouter homes;
  private final StoreEra era;
  private final StartSteps steps;
  private final Set<InboundPeerLink> inboundLinks = new LinkedHashSet<>();
  private boolean closed;
  private long eraSinceNanos;
  private OrganisationRateLimiter limits;
  private ForwardedStatementService service;
  private StoreSync sync;
  private RelayService relay;

  Peers(
      EventLoop loop,
      PeerTraffic traffic,
      String self,
      FleetMembership fleet,
      Declarations declarations,
      DeclarationExchange declarationExchange,
      Directory directory,
      TargetPools pools,
      PrimaryProber prober,
      HomeRouter homes,
      StoreEra era,
      StartSteps steps) {
    this.steps = steps;
    this.loop = loop;
    this.traffic = traffic;
    this.self = self;
    this.fleet = fleet;
    this.declarations = declarations;
    this.declarationExchange = declarationExchange;
    this.directory = directory;
    this.pools = pools;
    this.prober = prober;
    this.homes = homes;
    this.era = era;
    era.addListener(this::onNewEra);
  }

  void start(
      OrganisationRateLimiter rateLimiter,
      ForwardedStatementService forwardedStatementService,
      StoreSync storeSync,
      RelayService relayService) {
    sync = storeSync;
    limits = rateLimiter;
    service = forwardedStatementService;
    relay = relayService;
    loop.every(HEARTBEAT_INTERVAL_MS, this::updateLinks);
    new StartCheck(loop, declarations, fleet, this, sync).start();
  }

  /** Returns the handler of a connection that a peer opened. */
  InboundPeerLink serve(TcpChannel channel) {
    InboundPeerLink inbound =
        new InboundPeerLink(loop, traffic, channel, this::onRequest, this::onInboundClosed);
    inboundLinks.add(inbound);
    return inbound;
  }

  private void onInboundClosed(InboundPeerLink inbound) {
    inboundLinks.remove(inbound);
    service.onLinkClosed(inbound);
    relay.onLinkClosed(inbound);
  }

  /** Tells the peers of a new era that the store named, rather than at the next heartbeat. */
  private void onNewEra(StoreEra.Source source) {
    eraSinceNanos = loop.nowNanos();
    if (source == StoreEra.Source.STORE) {
      liveLinks().forEach(OutboundPeerLink::requestStatus);
    }
  }

  /** Opens and closes links as members come and go, and sends the heartbeats that are due. */
  void updateLinks() {
    if (closed) {
      return;
    }
    Map<String, String> members = new HashMap<>(fleet.otherAddresses());
    Set<String> needed = new HashSet<>(homes.linkedPeers());
    Set<String> relays = linkedRelays();
    needed.addAll(relays);
    members.keySet().retainAll(needed);
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
                peer, key -> new OutboundPeerLink(loop, traffic, self, peer, address, era, this)));
    for (OutboundPeerLink link : List.copyOf(outboundLinks.values())) {
      link.heartbeat(relays.contains(link.peer()) || homes.needsStatusOf(link.peer()));
    }
    List.copyOf(inboundLinks).forEach(InboundPeerLink::closeIfSilent);
  }

  /**
   * Returns the candidates for the own failure domain's relay. A relay also links to those of the
   * other failure domains, from which it takes proofs that it is up to date, and declarations while
   * the store does not answer it. An instance that has just started asks some further members, as
   * the relays may have started too.
   */
  Set<String> linkedRelays() {
    Set<String> relays = new HashSet<>(fleet.relayCandidates());
    if (sync.needsOtherRelays()) {
      relays.addAll(fleet.relaysOfOtherDomains());
    }
    if (declarations.isStartAwaited()) {
      List<String> others = List.copyOf(fleet.otherAddresses().keySet());
      Rendezvous.rank("start " + self, others).stream().limit(ASKED_AT_START).forEach(relays::add);
    }
    relays.remove(self);
    return relays;
  }

  /** Returns what is known of a candidate for the relay. */
  RelaySelection.Status relayStatus(String candidate) {
    OutboundPeerLink link = outboundLinks.get(candidate);
    if (link == null || !link.isUp()) {
      return RelaySelection.Status.UNREACHABLE;
    }
    PeerMessage.Pong pong = link.lastPong();
    boolean outdated =
        pong.position().era() < era.current() && loop.nowNanos() - eraSinceNanos > ERA_GRACE_NANOS;
    // A relay that has just started gives no proofs, but what it watches is up to date.
    long ageMs = pong.proofAgeMs() == PeerMessage.Pong.STARTED ? 0 : pong.proofAgeMs();
    long proofAgeMs = ageMs < 0 || outdated ? -1 : ageMs + link.statusAgeMs();
    return new RelaySelection.Status(true, pong.watching(), proofAgeMs);
  }

  /**
   * Returns whether this instance queries the store often in order to provide its peers with
   * proofs. The few highest ranked of the relays that reach each other do so.
   */
  boolean providesProofs() {
    List<String> liveRelays = new ArrayList<>(List.of(self));
    for (OutboundPeerLink link : liveLinks()) {
      if (link.lastPong().watching() && link.lastPong().proofAgeMs() >= 0) {
        liveRelays.add(link.peer());
      }
    }
    return Rendezvous.rank("proofs", liveRelays).indexOf(self) < PROOF_PROVIDERS;
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
    List.copyOf(inboundLinks).forEach(InboundPeerLink::close);
  }

  /** Returns the number of statements that wait for a place on their link. */
  int waitingStatements() {
    return outboundLinks.values().stream().mapToInt(OutboundPeerLink::waitingCount).sum();
  }

  /** Returns the link to {@code peer}, or null. */
  OutboundPeerLink link(String peer) {
    return outboundLinks.get(peer);
  }

  /** Returns whether there is a link to {@code peer} that is down. */
  boolean isDown(String peer) {
    OutboundPeerLink link = outboundLinks.get(peer);
    return link != null && !link.isUp();
  }

  /** Returns whether there is a link to {@code peer} that is up. */
  boolean isUp(String peer) {
    OutboundPeerLink link = outboundLinks.get(peer);
    return link != null && link.isUp();
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

  /** Requests tokens from a peer, if there is a link to it. */
  void requestTokens(RateLimitAction.RequestTokens tokens) {
    OutboundPeerLink link = outboundLinks.get(tokens.peer());
    if (link != null) {
      link.send(new PeerMessage.TokenRequest(tokens.request(), tokens.urgentTokens()));
    }
  }

  private void onRequest(InboundPeerLink inbound, PeerMessage request) {
    if (request instanceof PeerMessage.Ping ping) {
      era.observe(ping.era(), StoreEra.Source.PEER);
      inbound.send(createPong(ping));
    } else if (request instanceof PeerMessage.Forward forward) {
      service.run(inbound, forward);
    } else if (request instanceof PeerMessage.Cancel cancel) {
      service.cancel(inbound, cancel.correlation());
    } else if (request instanceof PeerMessage.EndTransaction end) {
      service.endTransaction(inbound, end.transaction());
    } else if (request instanceof PeerMessage.TokenRequest tokenRequest) {
      limits.onTokenRequest(inbound, tokenRequest);
    } else if (request instanceof PeerMessage.DeclarationRequest declarationRequest) {
      PeerMessage change = declarationExchange.changeSince(declarationRequest.version());
      if (change != null) {
        inbound.send(change);
      }
    } else if (request instanceof PeerMessage.Subscribe subscription) {
      relay.subscribe(inbound, subscription);
    }
  }

  private PeerMessage.Pong createPong(PeerMessage.Ping ping) {
    List<PeerMessage.PrimaryStatus> statuses =
        ping.needsStatus() ? primaryStatuses(ping.instance()) : List.of();
    return new PeerMessage.Pong(
        ping.sequence(),
        declarations.current().version(),
        announcedProofAgeMs(),
        sync.position(),
        sync.isWatching(),
        statuses,
        ping.needsStatus() ? pools.unreachableTargets() : List.of(),
        PeerMessage.PROTOCOL_VERSION);
  }

  private long announcedProofAgeMs() {
    if (declarations.isStartAwaited()) {
      return PeerMessage.Pong.STARTED;
    }
    return declarations.isUnreadable() ? -1 : declarations.proofAgeMs();
  }

  private List<PeerMessage.PrimaryStatus> primaryStatuses(String peer) {
    List<PeerMessage.PrimaryStatus> statuses = new ArrayList<>();
    for (GroupState group : directory.groups()) {
      if (!homes.needsStatus(group.name(), peer)) {
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
    return statuses;
  }

  @Override
  public void onPong(OutboundPeerLink link, PeerMessage.Pong pong, long pingNanos) {
    steps.record(StartSteps.Step.LINK);
    for (PeerMessage.PrimaryStatus status : pong.groups()) {
      if (status.position() != null) {
        steps.record(StartSteps.Step.PRIMARY);
        directory
            .group(status.group())
            .observedPositions()
            .add(status.position(), pingNanos - TimeUnit.MILLISECONDS.toNanos(status.ageMs()));
      }
    }
    pools.avoidUnreachable(pong.unreachableTargets(), AVOID_UNREACHABLE_NANOS);
    sync.onPeerPosition(pong.position());
    declarations.onKnownVersion(pong.version());
    declarationExchange.onPeerVersion(link, pong.version());
    if (pong.version() == declarations.current().version() && pong.proofAgeMs() >= 0) {
      declarations.confirmByPeerAt(
          pingNanos - TimeUnit.MILLISECONDS.toNanos(pong.proofAgeMs() + 1));
    }
  }

  @Override
  public void onResponse(OutboundPeerLink link, PeerMessage message) {
    if (message instanceof PeerMessage.TokenResponse response) {
      limits.onTokenResponse(response.answer());
    } else if (message instanceof PeerMessage.DeclarationResponse response) {
      declarationExchange.onResponse(link.peer(), response);
    } else if (message instanceof PeerMessage.DeclarationChange change) {
      declarationExchange.onChange(link.peer(), change);
    } else if (message instanceof PeerMessage.StoreChanges changes) {
      sync.onChanges(link, changes);
    }
  }
}
