package review;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/**
 * Clients set a session value inside a transaction, just before its COMMIT. Exits with 1 if a
 * statement runs on a connection whose session values differ from those that were acknowledged.
 */
final class Case5 {
  private static final int MACHINES = 3;
  private static final int ROUNDS = 4;

  private Case5() {}

  public static void main(String[] arguments) throws Exception {
    int broken = 0;
    int ran = 0;
    try (World world = new World(Path.of(arguments[0]))) {
      Group group = world.addGroup("huvo11a", new Group.Options(2, 16, 16, 12, 5, 60, 300, 0));
      world.addRoute("lepu270", group.name, "primary", 800, 0);
      world.publish();
      world.startGateways(MACHINES);
      Map<String, Map<String, String>> expected = new HashMap<>();
      for (int round = 0; round < ROUNDS; round++) {
        for (Gateway each : world.gateways) {
          try (Client client =
              new Client(each.id, world.record, each.front, "lepu270", World.KEY)) {
            Map<String, String> values = new HashMap<>();
            set(client, values, "crew", "7");
            client.run("BEGIN");
            expected.put(client.run("WRITE beat-" + round + " done").id(), Map.copyOf(values));
            if (world.trouble) {
              set(client, values, "crew", "9");
            }
            expected.put(client.run("COMMIT").id(), Map.copyOf(values));
          } catch (Exception e) {
            world.record.add("client    %s ends: %s", each.id, e);
          }
        }
      }
      synchronized (group) {
        for (Map.Entry<String, Map<String, String>> each : expected.entrySet()) {
          Map<String, String> found = group.valuesByStatement.get(each.getKey());
          ran += found == null ? 0 : 1;
          if (found != null && !found.equals(each.getValue())) {
            broken++;
            world.record.add(
                "result    id=%s ran with %s, acknowledged were %s",
                each.getKey(), found, each.getValue());
          }
        }
      }
      world.record.add("result    statements=%d broken=%d", ran, broken);
    }
    System.out.println("statements=" + ran + " broken=" + broken);
    System.exit(ran == 0 ? 2 : broken > 0 ? 1 : 0);
  }

  private static void set(
      Client client, Map<String, String> values, String name, String value) {
    if (client.run("SET " + name + " " + value).ok()) {
      values.put(name, value);
    }
  }
}
