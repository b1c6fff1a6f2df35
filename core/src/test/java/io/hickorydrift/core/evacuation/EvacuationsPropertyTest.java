package io.hickorydrift.core.evacuation;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.store.StorePosition;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * A store with random writes, deletions and restores from older copies, and instances that get its
 * events and snapshots late, repeatedly and out of order. Guards against instances that keep
 * different sets, or a set that the store did not hold last.
 */
class EvacuationsPropertyTest {
  private static final List<String> DOMAINS = List.of("a", "b", "c");
  private static final int STEPS = 60;

  /** A change of one domain, as a watch reports it. */
  private record Event(String domain, boolean active, StorePosition position) {}

  /** All evacuations of the store at a position. */
  private record Snapshot(Map<String, StorePosition> active, StorePosition position) {}

  /** The store, with all events and one snapshot after each. */
  private static final class Store {
    private final Random random;
    private final Map<String, StorePosition> active = new HashMap<>();
    private final List<Event> events = new ArrayList<>();
    private final List<Snapshot> snapshots = new ArrayList<>();
    private long era;
    private long revision;

    private Store(Random random) {
      this.random = random;
    }

    private void change() {
      String domain = DOMAINS.get(random.nextInt(DOMAINS.size()));
      StorePosition position = new StorePosition(era, ++revision);
      boolean put = random.nextBoolean();
      if (put) {
        active.put(domain, position);
      } else {
        active.remove(domain);
      }
      events.add(new Event(domain, put, position));
      snapshots.add(new Snapshot(Map.copyOf(active), position));
    }

    /** Returns to an earlier snapshot in the next era. */
    private void restore() {
      if (snapshots.isEmpty()) {
        return;
      }
      Snapshot copy = snapshots.get(random.nextInt(snapshots.size()));
      era++;
      revision = copy.position.revision();
      active.clear();
      copy.active.forEach(
          (domain, at) -> active.put(domain, new StorePosition(era, at.revision())));
      snapshots.add(new Snapshot(Map.copyOf(active), new StorePosition(era, revision)));
    }
  }

  private static void deliver(Evacuations instance, Event event) {
    if (event.active) {
      instance.begin(event.domain, event.position, 0);
    } else {
      instance.end(event.domain, event.position, 0);
    }
  }

  private static void deliver(Evacuations instance, Snapshot snapshot) {
    instance.replaceAll(snapshot.active, snapshot.position, 0);
  }

  /**
   * After the last snapshot, no event and no snapshot from before it changes the set, in whatever
   * order it comes.
   */
  @Property(tries = 300, seed = "20261204")
  void setIsThatOfTheLatestPosition(@ForAll long seed) {
    Random random = new Random(seed);
    Store store = new Store(random);
    Evacuations instance = new Evacuations();
    for (int step = 0; step < STEPS; step++) {
      if (random.nextInt(15) == 0) {
        store.restore();
      } else {
        store.change();
      }
      if (random.nextInt(3) == 0 && !store.events.isEmpty()) {
        deliver(instance, store.events.get(random.nextInt(store.events.size())));
      }
      if (random.nextInt(3) == 0 && !store.snapshots.isEmpty()) {
        deliver(instance, store.snapshots.get(random.nextInt(store.snapshots.size())));
      }
    }
    deliver(instance, store.snapshots.get(store.snapshots.size() - 1));
    for (int i = 0; i < STEPS; i++) {
      deliver(instance, store.snapshots.get(random.nextInt(store.snapshots.size())));
      if (!store.events.isEmpty()) {
        deliver(instance, store.events.get(random.nextInt(store.events.size())));
      }
    }
    assertThat(instance.domains()).isEqualTo(store.active.keySet());
  }

  /** Within one era, events alone give the set of the store, also if each comes more than once. */
  @Property(tries = 300, seed = "20261204")
  void repeatedEventsInAnyOrderGiveTheSetOfTheStore(@ForAll long seed) {
    Random random = new Random(seed);
    Store store = new Store(random);
    for (int step = 0; step < STEPS; step++) {
      store.change();
    }
    Evacuations instance = new Evacuations();
    List<Event> shuffled = new ArrayList<>(store.events);
    shuffled.addAll(store.events);
    Collections.shuffle(shuffled, random);
    shuffled.forEach(event -> deliver(instance, event));
    assertThat(instance.domains()).isEqualTo(store.active.keySet());
  }
}
