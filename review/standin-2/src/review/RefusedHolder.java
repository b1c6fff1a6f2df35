package review;

import io.hickorydrift.platform.standin.StandinCaller;
import io.hickorydrift.platform.standin.StandinGroup;
import io.hickorydrift.platform.standin.StandinOptions;
import io.hickorydrift.platform.standin.StandinTarget;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The store turns one instance away and serves the others, while tenants send more than their
 * rates.
 */
public final class RefusedHolder {
  private static final long REFUSED_MS = 9_000;
  private static final long WINDOW_MS = 5_000;
  private static final int TENANTS = 8;
  private static final double RATE = 84;
  private static final double BURST = 20;
  private static final double EXCESS = 0.1;
  private static final double SLACK = 20;

  private RefusedHolder() {}

  public static void main(String[] arguments) {
    Rig.run(List.of("ikeja", "lekki", "yaba", "apapa"), rig -> new Load(rig).run());
  }

  /** One request that a target ran. */
  private record Ran(long sentMs, long ranMs) {}

  private static final class Load {
    private final Rig rig;
    private final Map<String, Long> sentMs = new HashMap<>();
    private final Map<String, Integer> tenantOf = new HashMap<>();
    private final Map<String, Ran> ran = new HashMap<>();
    private final Map<String, Integer> answers = new HashMap<>();
    private boolean sending = true;

    Load(Rig rig) {
      this.rig = rig;
    }

    int run() throws Exception {
      for (int g = 1; g <= 3; g++) {
        StandinGroup group =
            rig.platform.addGroup("huvo11" + g, new StandinOptions(3, 24, 22, 12, 4, 30, 1_000));
        for (int i = 1; i <= 3; i++) {
          StandinTarget target = group.add("i-" + g + i, rig.freeAddress());
          target.setExecutionListener(
              execution -> {
                Long sent = sentMs.get(execution.id());
                if (sent != null) {
                  ran.putIfAbsent(execution.id(), new Ran(sent, rig.nowMs()));
                }
              });
        }
        rig.platform.declareRoute("xapu" + g, "huvo11" + g, "bounded_staleness", 1_500);
      }
      for (int t = 0; t < TENANTS; t++) {
        rig.platform.declareOrganisation("nypu92" + t, "u6wsjnbanfq" + t, RATE, BURST);
      }
      rig.platform.publish();
      String refusedAt = rig.freeAddress();
      rig.platform.store().listen(refusedAt);
      for (String zone : List.of("ikeja", "lekki", "yaba")) {
        rig.add("edge-" + zone + "-1", zone);
        rig.add("edge-" + zone + "-2", zone);
      }
      Rig.Node refused = rig.add("edge-apapa-1", "apapa", refusedAt);
      if (!rig.startAll()) {
        return rig.couldNotRun("instances are not ready");
      }
      rig.runFor(6_000);
      for (Rig.Node node : rig.nodes()) {
        for (int t = 0; t < TENANTS; t++) {
          for (int i = 0; i < (node == refused ? 3 : 1); i++) {
            open(node, t);
          }
        }
      }
      rig.runFor(6_000);
      long fromMs = rig.nowMs();
      if (rig.trouble) {
        rig.record("the store turns " + refused.id + " away (503)");
        rig.platform.store().setRefused(refusedAt, true);
      }
      rig.runFor(REFUSED_MS);
      rig.platform.store().setRefused(refusedAt, false);
      rig.record("the store serves all; refused for " + (rig.nowMs() - fromMs) + " ms");
      rig.runFor(4_000);
      sending = false;
      rig.runFor(1_000);
      return judge();
    }

    private void open(Rig.Node node, int tenant) {
      StandinCaller caller = new StandinCaller(rig.loop, node.callers);
      caller.open(
          "xapu" + (1 + tenant % 3),
          "u6wsjnbanfq" + tenant,
          lines -> {
            if (!lines.isEmpty() && lines.get(0).startsWith("READY")) {
              send(caller, tenant);
            } else {
              rig.record("session not opened at " + node.id + ": " + lines);
            }
          });
    }

    private void send(StandinCaller caller, int tenant) {
      if (!sending || caller.isClosed()) {
        return;
      }
      String id = rig.nextId();
      sentMs.put(id, rig.nowMs());
      tenantOf.put(id, tenant);
      caller.send(
          "QUERY " + id + " READ " + tenant + "a4\r\n",
          lines -> {
            String outcome = lines.isEmpty() ? "none" : lines.get(lines.size() - 2).split(" ")[0];
            boolean refused = lines.stream().anyMatch(line -> line.startsWith("ERROR"));
            answers.merge(refused ? String.join(" ", lines).replaceAll("[0-9]+", "N") : outcome, 1,
                Integer::sum);
            rig.loop.after(refused ? 30 : 5, () -> send(caller, tenant));
          });
    }

    private int judge() {
      answers.forEach((answer, count) -> rig.record("answers: " + count + " x " + answer));
      double allowed = (RATE * WINDOW_MS / 1_000 + BURST) * (1 + EXCESS) + SLACK;
      int broken = 0;
      int worst = 0;
      for (int t = 0; t < TENANTS; t++) {
        int tenant = t;
        long[][] runs =
            ran.entrySet().stream()
                .filter(each -> tenantOf.get(each.getKey()) == tenant)
                .map(each -> new long[] {each.getValue().ranMs, each.getValue().sentMs})
                .sorted((a, b) -> Long.compare(a[0], b[0]))
                .toArray(long[][]::new);
        int most = 0;
        long at = 0;
        for (int i = 0; i < runs.length; i++) {
          long endMs = runs[i][0];
          int count = 0;
          for (int j = i; j >= 0 && runs[j][0] > endMs - WINDOW_MS; j--) {
            count += runs[j][1] > endMs - WINDOW_MS ? 1 : 0;
          }
          if (count > most) {
            most = count;
            at = endMs;
          }
        }
        broken += most > allowed ? 1 : 0;
        worst = Math.max(worst, most);
        rig.record(
            "tenant nypu92" + t + " ran " + runs.length + ", most in " + WINDOW_MS + " ms: " + most
                + " up to " + at + " ms, allowed " + allowed);
      }
      return rig.verdict(
          broken > 0,
          broken + " of " + TENANTS + " tenants above the limit; most " + worst + ", allowed "
              + allowed);
    }
  }
}
