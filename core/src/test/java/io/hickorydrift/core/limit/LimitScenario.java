package io.hickorydrift.core.limit;

import io.hickorydrift.core.message.SlotTable;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Instances that spend one organisation's rate under a seeded interleaving of lost messages, cuts,
 * pauses, crashes and a store that is out or loses its answers. Measures what is admitted against a
 * single bucket of the same rate and burst.
 */
final class LimitScenario {
  private static final long MS = 1_000_000L;
  private static final String ORGANISATION = "o";

  /** Faults that a case allows, each a probability for a step. */
  record Faults(double lose, double pause, double crash, double storeCut, double loseStoreAnswer) {
    static final Faults NONE = new Faults(0, 0, 0, 0, 0);
  }

  /** How requests spread over instances. */
  enum Load {
    EVEN,
    ONE_INSTANCE,
    SHIFTING
  }

  private static final SlotLeaseSettings TIMES =
      new SlotLeaseSettings(1_000 * MS, 5_000 * MS, 700 * MS, 250 * MS, 0.75);

  private static final class Node {
    private final String name;
    private final SlotLease keeper;
    private final SlotRateLimiter ledger = new SlotRateLimiter(LimitSettings.STANDARD);
    private long pausedUntilNanos;
    private boolean cutFromStore;
    private long nextRenewNanos;
    private SlotTable read;
    private long readVersion;

    private Node(String name, int slots) {
      this.name = name;
      keeper = new SlotLease(name, slots, slots, TIMES);
    }
  }

  private record Message(long dueNanos, Runnable delivery) {}

  private final Random random;
  private final Faults faults;
  private final Load load;
  private final int slots;
  private final RateLimit limit;
  private final double requestsPerSecond;
  private final List<Node> nodes = new ArrayList<>();
  private final List<Message> messages = new ArrayList<>();
  private final Map<Long, Boolean> openTickets = new HashMap<>();
  private SlotTable table;
  private long version;
  private long nowNanos;
  private long nextTicket = 1;
  private int nextRun;
  private double referenceTokens;
  private int busiest;

  int asked;
  int admitted;
  int refused;
  double worstOvershoot;

  LimitScenario(
      long seed,
      Faults faults,
      Load load,
      int size,
      int slots,
      RateLimit limit,
      double requestsPerSecond) {
    random = new Random(seed);
    this.faults = faults;
    this.load = load;
    this.slots = slots;
    this.limit = limit;
    this.requestsPerSecond = requestsPerSecond;
    referenceTokens = limit.burst();
    nodes.addAll(Collections.nCopies(size, null));
    for (int i = 0; i < size; i++) {
      replace(i);
    }
  }

  /** Runs for {@code millis} of simulated time; counting starts after {@code settleMillis}. */
  void run(long millis, long settleMillis) {
    for (long i = 0; i < millis; i++) {
      nowNanos += MS;
      referenceTokens = Math.min(limit.burst(), referenceTokens + limit.ratePerSecond() / 1_000);
      if (i == settleMillis) {
        asked = 0;
        admitted = 0;
        refused = 0;
      }
      injectFaults();
      deliver();
      for (Node node : nodes) {
        if (nowNanos >= node.pausedUntilNanos) {
          renew(node);
          act(node, node.ledger.tick(nowNanos));
        }
      }
      arrive();
    }
  }

  private void replace(int number) {
    Node node = new Node("n" + number + "-run" + nextRun++, slots);
    nodes.set(number, node);
    node.ledger.setLimits(Map.of(ORGANISATION, limit), nowNanos);
    for (Node each : nodes) {
      if (each != null) {
        List<String> peers = new ArrayList<>();
        for (Node other : nodes) {
          if (other != null && other != each) {
            peers.add(other.name);
          }
        }
        each.ledger.setPeers(peers);
      }
    }
  }

  private void injectFaults() {
    if (random.nextDouble() < faults.pause) {
      Node node = nodes.get(random.nextInt(nodes.size()));
      node.pausedUntilNanos = nowNanos + random.nextInt(8_000) * MS;
    }
    if (random.nextDouble() < faults.crash) {
      replace(random.nextInt(nodes.size()));
    }
    if (random.nextDouble() < faults.storeCut) {
      Node node = nodes.get(random.nextInt(nodes.size()));
      node.cutFromStore = !node.cutFromStore;
    }
    if (load == Load.SHIFTING && random.nextInt(500) == 0) {
      busiest = random.nextInt(nodes.size());
    }
  }

  private void arrive() {
    double expected = requestsPerSecond / 1_000;
    int count = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
    for (int i = 0; i < count; i++) {
      Node node = nodes.get(load == Load.EVEN ? random.nextInt(nodes.size()) : busiest);
      if (nowNanos >= node.pausedUntilNanos) {
        asked++;
        act(node, node.ledger.acquire(ORGANISATION, nextTicket++, nowNanos));
      }
    }
  }

  private void act(Node node, List<RateLimitAction> actions) {
    for (RateLimitAction action : actions) {
      if (action instanceof RateLimitAction.Admit) {
        admitted++;
        referenceTokens -= 1;
        worstOvershoot = Math.max(worstOvershoot, -referenceTokens);
      } else if (action instanceof RateLimitAction.Refuse) {
        refused++;
      } else if (action instanceof RateLimitAction.RequestTokens ask) {
        send(
            ask.peer(),
            peer -> act(peer, peer.ledger.onTokenRequest(node.name, ask.request(), nowNanos)));
      } else if (action instanceof RateLimitAction.Grant grant) {
        send(
            grant.peer(),
            peer -> act(peer, peer.ledger.onGrantAnswer(node.name, grant.answer(), nowNanos)));
      }
    }
  }

  private void send(String peer, Consumer<Node> delivery) {
    if (random.nextDouble() < faults.lose) {
      return;
    }
    long delayMs = faults.lose > 0 && random.nextInt(20) == 0 ? random.nextInt(900) : 1;
    messages.add(new Message(nowNanos + delayMs * MS, () -> deliverTo(peer, delivery)));
  }

  private void deliverTo(String name, Consumer<Node> delivery) {
    for (Node node : nodes) {
      if (node.name.equals(name)) {
        if (nowNanos < node.pausedUntilNanos) {
          messages.add(new Message(node.pausedUntilNanos, () -> deliverTo(name, delivery)));
        } else {
          delivery.accept(node);
        }
        return;
      }
    }
  }

  private void deliver() {
    List<Message> due = new ArrayList<>();
    messages.removeIf(message -> message.dueNanos <= nowNanos && due.add(message));
    due.forEach(message -> message.delivery.run());
  }

  /** Reads the table in one step and writes it in a later one, so that writers race. */
  private void renew(Node node) {
    if (node.read != null || node.readVersion > 0) {
      write(node);
    } else if (nowNanos >= node.nextRenewNanos && !node.cutFromStore) {
      node.nextRenewNanos = nowNanos + TIMES.renewIntervalNanos();
      node.read = table;
      node.readVersion = version + 1;
    }
  }

  private void write(Node node) {
    SlotTable proposal = node.keeper.propose(node.read, nowNanos);
    long basedOn = node.readVersion - 1;
    node.read = null;
    node.readVersion = 0;
    boolean effective = !node.cutFromStore && proposal != null && basedOn == version;
    if (effective) {
      table = proposal;
      version++;
    }
    boolean lost = node.cutFromStore || random.nextDouble() < faults.loseStoreAnswer;
    if (proposal != null && !lost) {
      if (effective) {
        node.keeper.proposalWritten();
      } else {
        node.keeper.proposalConflicted();
        node.nextRenewNanos = nowNanos + random.nextInt(20) * MS;
      }
    }
    node.ledger.setShare(node.keeper.share(), nowNanos);
  }
}
