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
final class Peers implements PeerLink.Listener {
  private static final long PING_MS = 400;
  private static final int PROOF_BRINGERS = 3;

  private final EventLoop loop;
  private final String self;
  private final Fleet fleet;
  private final PlatformAdapter platform;
  private final Declarations declarations;
  private final Directory directory;
  private final PrimaryWatch watch;
  private final Map<String, PeerLink> links = new HashMap<>();
  private final Homes homes;
  private final Set<PeerServer> servers = new LinkedHashSet<>();
  private boolean closed;
  private RateLimits limits;
  private HomeService service;
  private StoreSync sync;

  Peers(
      EventLoop loop,
      String self,
      Fleet fleet,
      PlatformAdapter platform,
      Declarations declarations,
      Directory directory,
      PrimaryWatch watch,
      Homes homes) {
    this.loop = loop;
    this.self = self;
    this.fleet = fleet;
    this.platform = platform;
    this.declarations = declarations;
    this.directory = directory;
    this.watch = watch;
    this.homes = homes;
  }

  void start(RateLimits rateLimits, HomeService homeService, StoreSync storeSync) {
    sync = storeSync;
    limits = rateLimits;
    service = homeService;
    loop.every(PING_MS, this::ping);
  }

  /** Makes the handler of a link that a peer opened. */
  PeerServer serve(TcpChannel channel) {
    PeerServer server = new PeerServer(channel, this::asked, this::lost);
    servers.add(server);
    return server;
  }

  private void lost(PeerServer server) {
    servers.remove(server);
    service.lost(server);
  }

  private void ping() {
    if (closed) {
      return;
    }
    Map<String, String> members = new HashMap<>(fleet.others());
    members.keySet().retainAll(homes.neighbours());
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
            links.computeIfAbsent(peer, key -> new PeerLink(loop, self, peer, address, this)));
    links.values().forEach(PeerLink::ping);
  }

  /**
   * Returns whether this instance asks the store often, so that the others have proofs from it. A
   * few do, by rank among those that reach each other; others have no links to one that serves no
   * group.
   */
  boolean bringsProofs() {
    if (!homes.servesAny()) {
      return false;
    }
    List<String> live = new ArrayList<>(List.of(self));
    for (PeerLink link : links.values()) {
      if (link.up() && link.lastPong().proofAgeMs() >= 0) {
        live.add(link.peer());
      }
    }
    return Rendezvous.rank("proofs", live).indexOf(self) < PROOF_BRINGERS;
  }

  /** Returns what the peers that answered lately say of the primary of {@code group}. */
  Map<String, PrimaryReport> primaryReports(String group) {
    Map<String, PrimaryReport> reports = new HashMap<>();
    for (PeerLink link : up()) {
      for (PeerMessage.GroupNews news : link.lastPong().groups()) {
        if (news.group().equals(group)) {
          reports.put(link.peer(), new PrimaryReport(news.primary(), news.unreachableMs()));
        }
      }
    }
    return reports;
  }

  /** Returns a link to a peer that reaches the primary of {@code group}, if this one does not. */
  PeerLink detour(String group) {
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
    links.values().forEach(PeerLink::close);
    links.clear();
    servers.forEach(PeerServer::close);
  }

  /** Returns the link to {@code peer}, or null. */
  PeerLink link(String peer) {
    return links.get(peer);
  }

  /** Returns the links whose peer answered lately. */
  List<PeerLink> up() {
    List<PeerLink> up = new ArrayList<>();
    for (PeerLink link : links.values()) {
      if (link.up()) {
        up.add(link);
      }
    }
    return up;
  }

  /** Asks {@code peer} for tokens. */
  void ask(String peer, GrantRequest request) {
    PeerLink link = links.get(peer);
    if (link != null) {
      link.send(new PeerMessage.AskTokens(request));
    }
  }

  private void asked(PeerServer server, PeerMessage question) {
    if (question instanceof PeerMessage.Ping ping) {
      server.answer(pong(ping));
    } else if (question instanceof PeerMessage.Forward forward) {
      service.run(server, forward);
    } else if (question instanceof PeerMessage.EndTransaction end) {
      service.end(server, end.transaction());
    } else if (question instanceof PeerMessage.AskTokens ask) {
      limits.asked(server, ask.request());
    } else if (question instanceof PeerMessage.AskDeclaration) {
      byte[] value = declarations.stored();
      if (value != null) {
        server.answer(new PeerMessage.GiveDeclaration(value));
      }
    }
  }

  private PeerMessage.Pong pong(PeerMessage.Ping ping) {
    List<PeerMessage.GroupNews> news = new ArrayList<>();
    for (GroupState group : directory.groups()) {
      if (!homes.serves(group.name(), ping.instance())) {
        continue;
      }
      Position position = group.sightings().latest();
      long ageMs =
          position == null
              ? 0
              : TimeUnit.NANOSECONDS.toMillis(group.sightings().ageNanos(loop.nowNanos())) + 1;
      TargetState primary = group.primary();
      news.add(
          new PeerMessage.GroupNews(
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
  public void pong(PeerLink link, PeerMessage.Pong pong, long pingNanos) {
    for (PeerMessage.GroupNews news : pong.groups()) {
      if (news.position() != null) {
        directory
            .group(news.group())
            .sightings()
            .add(news.position(), pingNanos - TimeUnit.MILLISECONDS.toNanos(news.ageMs()));
      }
    }
    sync.heardOf(pong.revision());
    long version = declarations.current().version();
    if (pong.version() > version) {
      link.send(new PeerMessage.AskDeclaration());
    } else if (pong.version() == version && pong.proofAgeMs() >= 0) {
      declarations.provenAt(pingNanos - TimeUnit.MILLISECONDS.toNanos(pong.proofAgeMs() + 1));
    }
  }

  @Override
  public void answered(PeerLink link, PeerMessage message) {
    if (message instanceof PeerMessage.GiveTokens give) {
      limits.given(give.answer());
    } else if (message instanceof PeerMessage.GiveDeclaration give) {
      try {
        declarations.accept(platform.declaration(give.value()), give.value());
      } catch (IllegalArgumentException e) {
        Logger.warn(
            "event=declaration_unreadable peer={} reason=\"{}\"", link.peer(), e.getMessage());
      }
    }
  }
}
