package review;

import io.hickorydrift.platform.standin.StandinCaller;
import io.hickorydrift.platform.standin.StandinGroup;
import io.hickorydrift.platform.standin.StandinOptions;
import io.hickorydrift.platform.standin.StandinTarget;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Three instances, a service with syncReplicas 1 on three backends, and callers whose transactions
 * write one item each and pause between their statements. Afterwards each acknowledged commit has
 * to be in the log of the primary.
 */
final class CommitLoad {
  /** Largest for_s of replica_lag in the troubles of the site. */
  static final long DEAF_MS = 6_500;

  private static final int SESSIONS_PER_INSTANCE = 6;
  private static final long PAUSE_MS = 150;

  private final Rig rig;
  private final Map<String, Long> acknowledgedMs = new LinkedHashMap<>();
  private final Map<String, Integer> outcomes = new TreeMap<>();
  private StandinGroup group;
  private boolean sending = true;
  private long items;

  CommitLoad(Rig rig) {
    this.rig = rig;
  }

  /** Starts the instances and the callers; returns whether all is ready. */
  boolean start() throws IOException {
    group = rig.platform.addGroup("huvo11a", new StandinOptions(3, 24, 22, 12, 6, 60, 1_000));
    group.setSyncReplicas(1);
    for (int i = 1; i <= 3; i++) {
      group.add("i-" + i, rig.freeAddress());
    }
    rig.platform.declareRoute("fiti832", "huvo11a", "primary", 0);
    rig.platform.declareOrganisation("nypu920", "u6wsjnbanfqa", 840, 840);
    rig.platform.publish();
    for (String zone : List.of("ikeja", "lekki", "yaba")) {
      rig.add("edge-" + zone + "-1", zone);
    }
    if (!rig.startAll()) {
      return false;
    }
    rig.runFor(4_500);
    for (Rig.Node node : rig.nodes()) {
      for (int i = 0; i < SESSIONS_PER_INSTANCE; i++) {
        connect(node);
      }
    }
    rig.runFor(4_000);
    return acknowledgedMs.size() > 0;
  }

  StandinGroup group() {
    return group;
  }

  StandinTarget target(String id) {
    for (StandinTarget each : group.targets()) {
      if (each.id().equals(id)) {
        return each;
      }
    }
    throw new IllegalArgumentException(id);
  }

  /** Lets a replica receive nothing for a while. */
  void deafen(StandinTarget replica) {
    rig.record(replica.id() + " receives nothing from now on, for " + DEAF_MS + " ms");
    replica.setReplicationStopped(true);
    rig.loop.after(DEAF_MS, () -> replica.setReplicationStopped(false));
  }

  int acknowledged() {
    return acknowledgedMs.size();
  }

  private void connect(Rig.Node node) {
    if (!sending) {
      return;
    }
    StandinCaller caller = new StandinCaller(rig.loop, node.callers);
    caller.open(
        "fiti832",
        "u6wsjnbanfqa",
        lines -> {
          if (!lines.isEmpty() && lines.get(0).startsWith("READY")) {
            transaction(node, caller);
          } else {
            caller.close();
            rig.loop.after(100, () -> connect(node));
          }
        });
  }

  private void transaction(Rig.Node node, StandinCaller caller) {
    if (!sending || caller.isClosed()) {
      return;
    }
    String item = "t" + ++items;
    List<String> texts = List.of("BEGIN", "WRITE " + item + " v", "READ " + item, "COMMIT");
    step(node, caller, item, new ArrayList<>(texts));
  }

  private void step(Rig.Node node, StandinCaller caller, String item, List<String> texts) {
    String text = texts.remove(0);
    caller.send(
        "QUERY " + rig.nextId() + " " + text + "\r\n",
        lines -> {
          boolean ok = lines.stream().anyMatch(line -> line.startsWith("COMPLETE"));
          if (text.equals("COMMIT")) {
            String outcome = ok || lines.isEmpty() ? "" : " " + lines.get(0).split(" ")[1];
            outcomes.merge(ok ? "COMPLETE" : "failed" + outcome, 1, Integer::sum);
          }
          if (ok && text.equals("COMMIT")) {
            acknowledgedMs.put(item, rig.nowMs());
          }
          boolean idle = !lines.isEmpty() && lines.get(lines.size() - 1).startsWith("READY I");
          if (ok && !texts.isEmpty()) {
            rig.loop.after(PAUSE_MS, () -> step(node, caller, item, texts));
          } else if (idle) {
            rig.loop.after(40, () -> transaction(node, caller));
          } else {
            caller.close();
            rig.loop.after(100, () -> connect(node));
          }
        });
  }

  /** Ends the load and compares the acknowledged commits with the log. */
  int judge() throws IOException {
    sending = false;
    rig.runFor(2_000);
    Set<String> kept = new HashSet<>();
    group.committedWrites().forEach(writes -> kept.addAll(writes.keySet()));
    int lost = 0;
    for (Map.Entry<String, Long> each : acknowledgedMs.entrySet()) {
      if (!kept.contains(each.getKey())) {
        lost++;
        rig.record("acknowledged at " + each.getValue() + " ms and lost: " + each.getKey());
      }
    }
    rig.record("answers to COMMIT: " + outcomes);
    return rig.verdict(
        lost > 0,
        lost + " of " + acknowledgedMs.size()
            + " acknowledged commits are not in the log of the promoted backend");
  }
}
