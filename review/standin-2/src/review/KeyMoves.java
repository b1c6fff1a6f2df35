package review;

import io.hickorydrift.platform.standin.StandinCaller;
import io.hickorydrift.platform.standin.StandinGroup;
import io.hickorydrift.platform.standin.StandinOptions;
import io.hickorydrift.platform.standin.StandinTarget;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A client's key is moved from one tenant to another by a new configuration while the client has a
 * transaction open.
 */
public final class KeyMoves {
  private static final long CONFIG_MS = 3_000;

  private KeyMoves() {}

  public static void main(String[] arguments) {
    Rig.run(List.of("ikeja", "lekki"), rig -> run(rig));
  }

  private static int run(Rig rig) throws Exception {
    StandinGroup group =
        rig.platform.addGroup("huvo11a", new StandinOptions(3, 24, 22, 12, 6, 60, 1_000));
    Set<String> ran = new HashSet<>();
    List<Rig.Tap> taps = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      String address = rig.freeAddress();
      String announced = rig.freeAddress();
      taps.add(rig.new Tap("i-" + i, announced, address));
      StandinTarget target = group.add("i-" + i, address, announced);
      target.setExecutionListener(execution -> ran.add(execution.id()));
    }
    rig.platform.declareRoute("fiti832", "huvo11a", "read_your_writes", 2_500);
    rig.platform.declareOrganisation("north", "u6wsjnbanfqa", 84, 84);
    rig.platform.declareOrganisation("south", "w5p9fk67fb6k", 84, 84);
    rig.platform.publish();
    Rig.Node node = rig.add("edge-ikeja-1", "ikeja");
    rig.add("edge-lekki-1", "lekki");
    if (!rig.startAll()) {
      return rig.couldNotRun("instances are not ready");
    }
    rig.runFor(4_500);
    StandinCaller caller = new StandinCaller(rig.loop, node.callers);
    rig.call(caller, "STARTUP fiti832 u6wsjnbanfqa", 2_000);
    String first = rig.nextId();
    rig.call(caller, "QUERY " + rig.nextId() + " BEGIN", 1_000);
    if (!ok(rig.call(caller, "QUERY " + first + " WRITE 1a4 xkqpwnzd", 1_000))) {
      return rig.couldNotRun("the transaction did not begin");
    }
    if (rig.trouble) {
      rig.platform.declareOrganisation("north", "j8pjbvk9m68k", 84, 84);
      rig.platform.declareOrganisation("south", "u6wsjnbanfqa", 84, 84);
    } else {
      rig.platform.declareOrganisation("north", "u6wsjnbanfqa", 84, 90);
    }
    rig.platform.publish();
    long acknowledgedMs = rig.nowMs();
    rig.record("acknowledged: configuration " + rig.platform.publishedVersion());
    // Stays below txIdleMs, which is 3,000.
    for (int i = 0; i < 4; i++) {
      rig.runFor(1_400);
      rig.call(caller, "QUERY " + rig.nextId() + " READ 2b7", 1_000);
    }
    long sentMs = rig.nowMs();
    String late = rig.nextId();
    String commit = rig.nextId();
    rig.call(caller, "QUERY " + late + " WRITE 3c9 mzqhtrwp", 1_000);
    List<String> committed = rig.call(caller, "QUERY " + commit + " COMMIT", 1_000);
    // A new session of the same key shows whose it is now.
    StandinCaller other = new StandinCaller(rig.loop, node.callers);
    rig.call(other, "STARTUP fiti832 u6wsjnbanfqa", 2_000);
    String control = rig.nextId();
    rig.call(other, "QUERY " + control + " READ 2b7", 1_000);
    rig.record("sent later than acknowledged: " + (sentMs - acknowledgedMs) + " ms");
    String holder = rig.trouble ? "south" : "north";
    int wrong = 0;
    for (Rig.Tap tap : taps) {
      for (Rig.Seen seen : tap.seen) {
        boolean isLate = seen.id.equals(late) || seen.id.equals(commit) || seen.id.equals(control);
        boolean isWrong = isLate && ran.contains(seen.id) && !seen.tenant.equals(holder);
        wrong += isWrong ? 1 : 0;
        rig.record(
            seen.target + " got " + seen.id + " " + seen.text + " tenant=" + seen.tenant
                + " ran=" + ran.contains(seen.id) + (isWrong ? " WRONG TENANT" : ""));
      }
    }
    if (sentMs - acknowledgedMs <= CONFIG_MS) {
      return rig.couldNotRun("the statements were sent too early");
    }
    return rig.verdict(
        wrong > 0,
        wrong + " statements ran for another tenant than the key's holder " + holder
            + ", sent " + (sentMs - acknowledgedMs) + " ms after the acknowledgement; commit: "
            + committed);
  }

  private static boolean ok(List<String> lines) {
    return lines.stream().anyMatch(line -> line.startsWith("COMPLETE"));
  }
}
