package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A client pauses inside a transaction while one machine of the system freezes and wakes again.
 * Exits with 1 if a statement of a transaction ran on another backend connection than its first
 * statement, or if an acknowledged commit lacks a write of its transaction.
 */
final class Case1 {
  private static final int MACHINES = 8;
  private static final int ROUNDS = 3;
  private static final long FREEZE_MS = 1_500;
  // Below txIdleMs, 3,000.
  private static final long PAUSE_MS = 2_700;

  private Case1() {}

  /** One transaction: two writes with a pause between them, or a write, a pause and the commit. */
  private static final class Work implements Runnable {
    private final World world;
    private final Gateway entry;
    private final String item;
    private final boolean secondWrite;
    private final List<String> writes = new ArrayList<>();
    private boolean begun;
    private boolean acknowledged;
    private String commit = "";

    private Work(World world, Gateway entry, String item, boolean secondWrite) {
      this.world = world;
      this.entry = entry;
      this.item = item;
      this.secondWrite = secondWrite;
    }

    @Override
    public void run() {
      String name = entry.id + "/" + item;
      try (Client client = new Client(name, world.record, entry.front, "fiti832", World.KEY)) {
        if (!client.run("BEGIN").ok()) {
          return;
        }
        Client.Answer first = client.run("WRITE " + item + "a first-" + item);
        if (!first.ok()) {
          return;
        }
        writes.add(first.id());
        begun = true;
        Thread.sleep(PAUSE_MS);
        if (secondWrite) {
          Client.Answer second = client.run("WRITE " + item + "b second-" + item);
          if (!second.ok()) {
            return;
          }
          writes.add(second.id());
        }
        Client.Answer end = client.run("COMMIT");
        commit = end.id();
        acknowledged = end.ok();
      } catch (Exception e) {
        world.record.add("client    %s ends: %s", name, e);
      }
    }

    /** Whether the commit was acknowledged and the log lacks a write of the transaction. */
    private boolean isBroken(Group group) {
      boolean broken = false;
      for (String each : writes) {
        Group.Entry entryOfLog = group.find(each);
        broken |= acknowledged && (entryOfLog == null || !entryOfLog.ids().contains(commit));
      }
      return broken;
    }
  }

  public static void main(String[] arguments) throws Exception {
    int broken = 0;
    int completed = 0;
    try (World world = new World(Path.of(arguments[0]))) {
      // The figures of the site: 3 backends, 2 slots and 16 connections each.
      Group group =
          world.addGroup("huvo11a", new Group.Options(2, 16, 16, 12, 5, 60, 300, 0));
      world.addRoute("fiti832", group.name, "read_your_writes", 800, 2_500);
      world.publish();
      world.startGateways(MACHINES);
      Gateway home = world.homeOf(group.name);
      if (home == null) {
        world.record.add("result    no process says that it is the home of %s", group.name);
        System.exit(2);
      }
      world.record.add("system    home of %s is %s", group.name, home.id);
      for (int round = 0; round < ROUNDS; round++) {
        List<Work> all = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (Gateway each : world.gateways) {
          if (each != home) {
            for (int i = 0; i < 2; i++) {
              all.add(new Work(world, each, "r" + round + "n" + all.size(), i == 0));
            }
          }
        }
        all.forEach(each -> threads.add(new Thread(each)));
        threads.forEach(Thread::start);
        Thread.sleep(500);
        if (world.trouble) {
          home.signal("STOP");
        }
        // Other clients go on meanwhile, as they do in every deployment.
        Thread.sleep(200);
        List<Thread> readers = new ArrayList<>();
        for (Gateway each : world.gateways) {
          if (each != home) {
            readers.add(new Thread(() -> readOnce(world, each)));
          }
        }
        readers.forEach(Thread::start);
        Thread.sleep(FREEZE_MS - 200);
        if (world.trouble) {
          home.signal("CONT");
        }
        for (Thread each : threads) {
          each.join();
        }
        for (Thread each : readers) {
          each.join();
        }
        for (Work each : all) {
          completed += each.begun ? 1 : 0;
          if (each.isBroken(group)) {
            broken++;
            world.record.add(
                "result    %s commit=%s was acknowledged without writes=%s",
                each.entry.id, each.commit, each.writes);
          }
        }
        Thread.sleep(3_000);
      }
      world.record.add("result    transactions=%d broken=%d", completed, broken);
    }
    System.out.println("transactions=" + completed + " broken=" + broken);
    System.exit(completed == 0 ? 2 : broken > 0 ? 1 : 0);
  }

  private static void readOnce(World world, Gateway entry) {
    try (Client client =
        new Client(entry.id + "/reader", world.record, entry.front, "fiti832", World.KEY)) {
      client.run("READ 1a4");
    } catch (Exception e) {
      world.record.add("client    %s/reader ends: %s", entry.id, e);
    }
  }
}
