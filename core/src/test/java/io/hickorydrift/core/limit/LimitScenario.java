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
 * Simulates instances that share one organisation's rate under a seeded interleaving of lost and
 * delayed messages, paused and crashed processes, partitions from the store and lost answers of the
 * store. Compares the admitted requests with a single bucket of the same rate and burst.
 */
final class LimitScenario {
  private static final long MS = 1_000_000L;
  private static final String ORGANISATION = "o";

  /** Probabilities of the injected faults, each for a simulated step, a message or a write. */
  record Faults(
      double lossProbability,
      double pauseProbability,
      double crashProbability,
      double storePartitionProbability,
      double storeAnswerLossProbability) {
    static final Faults NONE = new Faults(0, 0, 0, 0, 0);
  }

  /** Distribution of requests over instances. */
  enum Load {
    EVEN,
    ONE_INSTANCE,
    SHIFTING
  }

  private static final SlotLeaseSettings LEASE_SETTINGS =
      new SlotLeaseSettings(1_000 * MS, 5_000 * MS, 700 * MS, 250 * MS, 0.75);

  private static final class Instance {
    private final String name;
    private final SlotLease lease;
    private final SlotRateLimiter limiter = new SlotRateLimiter(LimitSettings.STANDARD);
    private long pausedUntilNanos;
    private boolean partitionedFromStore;
    private long nextRenewNanos;
    private SlotTable tableRead;
    private long readVersion;

    private Instance(String name, int slots) {
      this.name = name;
      lease = new SlotLease(name, slots, slots, LEASE_SETTINGS);
    }
  }

  private record Message(long deliveryNanos, Runnable handler) {}

  private final Random random;
  private final Faults faults;
  private final Load load;
  private final int slots;
  private final RateLimit limit;
  private final double requestsPerSecond;
  private final List<Instance> instances = new ArrayList<>();
  private final List<Message> messages = new ArrayList<>();
  private final Map<Long, Boolean> openTickets = new HashMap<>();
  private SlotTable table;
  private long version;
  private long nowNanos;
  private long nextTicket = 1;
  private int nextRunId;
  private double referenceTokens;
  private int loadedInstance;

  int requested;
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
    instances.addAll(Collections.nCopies(size, null));
    for (int i = 0; i < size; i++) {
      replaceInstance(i);
    }
  }

  /** Simulates {@code millis} of time; the counters are reset after {@code warmUpMillis}. */
  void run(long millis, long warmUpMillis) {
    for (long i = 0; i < millis; i++) {
      nowNanos += MS;
      referenceTokens = Math.min(limit.burst(), referenceTokens + limit.ratePerSecond() / 1_000);
      if (i == warmUpMillis) {
        requested = 0;
        admitted = 0;
        refused = 0;
      }
      injectFaults();
      deliverDueMessages();
      for (Instance instance : instances) {
        if (nowNanos >= instance.pausedUntilNanos) {
          renew(instance);
          carryOut(instance, instance.limiter.tick(nowNanos));
        }
      }
      generateRequests();
    }
  }

  private void replaceInstance(int index) {
    Instance instance = new Instance("n" + index + "-run" + nextRunId++, slots);
    instances.set(index, instance);
    instance.limiter.setLimits(Map.of(ORGANISATION, limit), nowNanos);
    for (Instance updated : instances) {
      if (updated != null) {
        List<String> peers = new ArrayList<>();
        for (Instance other : instances) {
          if (other != null && other != updated) {
            peers.add(other.name);
          }
        }
        updated.limiter.setPeers(peers);
      }
    }
  }

  private void injectFaults() {
    if (random.nextDouble() < faults.pauseProbability) {
      Instance instance = instances.get(random.nextInt(instances.size()));
      instance.pausedUntilNanos = nowNanos + random.nextInt(8_000) * MS;
    }
    if (random.nextDouble() < faults.crashProbability) {
      replaceInstance(random.nextInt(instances.size()));
    }
    if (random.nextDouble() < faults.storePartitionProbability) {
      Instance instance = instances.get(random.nextInt(instances.size()));
      instance.partitionedFromStore = !instance.partitionedFromStore;
    }
    if (load == Load.SHIFTING && random.nextInt(500) == 0) {
      loadedInstance = random.nextInt(instances.size());
    }
  }

  private void generateRequests() {
    double expected = requestsPerSecond / 1_000;
    int count = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
    for (int i = 0; i < count; i++) {
      Instance instance =
          instances.get(load == Load.EVEN ? random.nextInt(instances.size()) : loadedInstance);
      if (nowNanos >= instance.pausedUntilNanos) {
        requested++;
        carryOut(instance, instance.limiter.acquire(ORGANISATION, nextTicket++, nowNanos));
      }
    }
  }

  private void carryOut(Instance instance, List<RateLimitAction> actions) {
    for (RateLimitAction action : actions) {
      if (action instanceof RateLimitAction.Admit) {
        admitted++;
        referenceTokens -= 1;
        worstOvershoot = Math.max(worstOvershoot, -referenceTokens);
      } else if (action instanceof RateLimitAction.Refuse) {
        refused++;
      } else if (action instanceof RateLimitAction.RequestTokens tokenRequest) {
        send(
            tokenRequest.peer(),
            peer ->
                carryOut(
                    peer,
                    peer.limiter.onTokenRequest(instance.name, tokenRequest.request(), nowNanos)));
      } else if (action instanceof RateLimitAction.Grant grant) {
        send(
            grant.peer(),
            peer ->
                carryOut(
                    peer, peer.limiter.onGrantAnswer(instance.name, grant.answer(), nowNanos)));
      }
    }
  }

  private void send(String peer, Consumer<Instance> handler) {
    if (random.nextDouble() < faults.lossProbability) {
      return;
    }
    long delayMs = faults.lossProbability > 0 && random.nextInt(20) == 0 ? random.nextInt(900) : 1;
    messages.add(new Message(nowNanos + delayMs * MS, () -> deliverTo(peer, handler)));
  }

  private void deliverTo(String name, Consumer<Instance> handler) {
    for (Instance instance : instances) {
      if (instance.name.equals(name)) {
        if (nowNanos < instance.pausedUntilNanos) {
          messages.add(new Message(instance.pausedUntilNanos, () -> deliverTo(name, handler)));
        } else {
          handler.accept(instance);
        }
        return;
      }
    }
  }

  private void deliverDueMessages() {
    List<Message> due = new ArrayList<>();
    messages.removeIf(message -> message.deliveryNanos <= nowNanos && due.add(message));
    due.forEach(message -> message.handler.run());
  }

  /** Reads and writes the table in separate steps, so that concurrent writers conflict. */
  private void renew(Instance instance) {
    if (instance.tableRead != null || instance.readVersion > 0) {
      write(instance);
    } else if (nowNanos >= instance.nextRenewNanos && !instance.partitionedFromStore) {
      instance.nextRenewNanos = nowNanos + LEASE_SETTINGS.renewIntervalNanos();
      instance.tableRead = table;
      instance.readVersion = version + 1;
    }
  }

  private void write(Instance instance) {
    SlotTable proposal = instance.lease.propose(instance.tableRead, nowNanos);
    long baseVersion = instance.readVersion - 1;
    instance.tableRead = null;
    instance.readVersion = 0;
    boolean written = !instance.partitionedFromStore && proposal != null && baseVersion == version;
    if (written) {
      table = proposal;
      version++;
    }
    boolean answerLost =
        instance.partitionedFromStore || random.nextDouble() < faults.storeAnswerLossProbability;
    if (proposal != null && !answerLost) {
      if (written) {
        instance.lease.proposalWritten();
      } else {
        instance.lease.proposalConflicted();
        instance.nextRenewNanos = nowNanos + random.nextInt(20) * MS;
      }
    }
    instance.limiter.setShare(instance.lease.share(), nowNanos);
  }
}
