package io.hickorydrift.proxy.cli;

import io.hickorydrift.proxy.control.InstanceStatus;
import java.io.PrintStream;
import java.util.List;
import joptsimple.OptionSet;

/** Prints the settings entries and states of an instance and its peers. */
final class StatusCommand implements Command {
  @Override
  public String name() {
    return "status";
  }

  @Override
  public String summary() {
    return "show the settings entry of each instance and the instances that are behind";
  }

  @Override
  public int run(List<String> arguments, PrintStream out) {
    Options options = new Options("status --operator ADDRESS");
    options.parser().accepts("operator", "Operators' address of an instance").withRequiredArg();
    OptionSet parsed = options.parse(arguments, out);
    if (parsed == null) {
      return ExitCode.OK;
    }
    if (!parsed.has("operator")) {
      throw new UsageException("--operator is missing");
    }
    InstanceStatus status = new OperatorClient((String) parsed.valueOf("operator"), null).status();
    print(status, out);
    return ExitCode.OK;
  }

  private static void print(InstanceStatus status, PrintStream out) {
    long newestEntry = status.configEntry();
    for (InstanceStatus.PeerStatus peer : status.peers()) {
      newestEntry = Math.max(newestEntry, peer.configEntry());
    }
    out.printf(
        "instance=%s domain=%s ready=%s entry=%d slot=%d usable_share=%.4f store_silent_ms=%d%n",
        status.instance(),
        status.failureDomain(),
        status.ready(),
        status.configEntry(),
        status.slot(),
        status.usableShare(),
        status.storeSilentMs());
    int behind = status.configEntry() < newestEntry ? 1 : 0;
    for (InstanceStatus.PeerStatus peer : status.peers()) {
      boolean isBehind = peer.configEntry() < newestEntry;
      behind += isBehind ? 1 : 0;
      out.printf(
          "peer=%s domain=%s entry=%d slot=%d leaving=%s%s%n",
          peer.instance(),
          peer.failureDomain(),
          peer.configEntry(),
          peer.slot(),
          peer.leaving(),
          isBehind ? " behind=true" : "");
    }
    status
        .groups()
        .forEach(
            (name, group) ->
                out.printf(
                    "group=%s term=%d primary=%s connections=%d suspecting=%s%n",
                    name,
                    group.term(),
                    group.primary(),
                    group.openConnections(),
                    group.suspecting()));
    out.printf("newest_entry=%d behind=%d%n", newestEntry, behind);
  }
}
