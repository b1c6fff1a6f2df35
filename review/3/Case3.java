package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * A service with syncReplicas = 1. One replica receives nothing for a while, the other one drains
 * in a release, and the primary crashes meanwhile. Exits with 1 if an acknowledged commit is not in
 * the log of the backend that is promoted.
 */
final class Case3 {
  private static final int MACHINES = 3;
  private static final int WRITERS = 6;

  private static volatile boolean ended;

  private Case3() {}

  public static void main(String[] arguments) throws Exception {
    ConcurrentLinkedQueue<String> acknowledged = new ConcurrentLinkedQueue<>();
    int lost = 0;
    boolean promoted;
    try (World world = new World(Path.of(arguments[0]))) {
      Group group = world.addGroup("huvo11a", new Group.Options(2, 16, 16, 12, 5, 60, 300, 1));
      world.addRoute("fiti832", group.name, "read_your_writes", 800, 2_500);
      world.publish();
      world.startGateways(MACHINES);
      List<Thread> threads = new ArrayList<>();
      for (int i = 0; i < WRITERS; i++) {
        int number = i;
        threads.add(new Thread(() -> work(world, number, acknowledged)));
      }
      threads.forEach(Thread::start);
      Thread.sleep(3_000);
      Backend primary = group.primary;
      Backend deaf = group.backends.get(1);
      Backend leaving = group.backends.get(2);
      if (world.trouble) {
        world.record.add("fault     %s receives nothing", deaf.id);
        synchronized (group) {
          deaf.deaf = true;
        }
      }
      Thread.sleep(2_000);
      if (world.trouble) {
        // It serves for drainMs, 7,000, and a little longer.
        group.replace(leaving, 7_500);
      }
      Thread.sleep(1_000);
      if (world.trouble) {
        group.crash(primary, 3_600);
      }
      Thread.sleep(6_500 - 3_000);
      if (world.trouble) {
        world.record.add("fault     %s receives again", deaf.id);
        synchronized (group) {
          deaf.deaf = false;
          deaf.receive(group.log.size());
        }
      }
      Thread.sleep(7_000);
      ended = true;
      for (Thread each : threads) {
        each.join();
      }
      synchronized (group) {
        promoted = group.primary != primary;
        for (String id : acknowledged) {
          if (group.find(id) == null) {
            lost++;
            world.record.add("result    the acknowledged commit id=%s is in no log", id);
          }
        }
      }
      String result =
          "promoted=" + promoted + " acknowledged=" + acknowledged.size() + " lost=" + lost;
      world.record.add("result    %s", result);
      System.out.println(result);
    }
    System.exit(acknowledged.isEmpty() ? 2 : lost > 0 ? 1 : 0);
  }

  private static void work(World world, int number, ConcurrentLinkedQueue<String> acknowledged) {
    Gateway entry = world.gateways.get(number % MACHINES);
    int count = 0;
    while (!ended) {
      try (Client client =
          new Client("c" + number, world.record, entry.front, "fiti832", World.KEY)) {
        while (!ended) {
          Client.Answer answer = client.run("WRITE n" + number + "." + ++count + " v" + count);
          if (answer.ok()) {
            acknowledged.add(answer.id());
          }
          if (answer.state().equals("closed")) {
            break;
          }
          Thread.sleep(200);
        }
      } catch (Exception e) {
        world.record.add("client    c%d ends: %s", number, e);
        try {
          Thread.sleep(300);
        } catch (InterruptedException interrupted) {
          return;
        }
      }
    }
  }
}
