package io.hickorydrift.proxy.cli;

import io.hickorydrift.standin.platform.PlatformStandin;
import io.hickorydrift.standin.target.TargetOptions;
import io.hickorydrift.standin.target.TargetStandin;
import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Runs a stand-in platform or target as a process of its own. */
final class StandinCommand implements Command {
  private static final String LOOPBACK = "127.0.0.1";

  @Override
  public String name() {
    return "standin";
  }

  @Override
  public String summary() {
    return "run a stand-in platform or target, for tests";
  }

  @Override
  public int run(List<String> arguments, PrintStream out) throws InterruptedException {
    Options options = new Options("standin platform|target [OPTIONS]");
    OptionSpec<Integer> port = number(options, "port", "Port on loopback, 0 for any", 0);
    OptionSpec<Integer> listLag = number(options, "list-lag-ms", "Lag of the platform's list", 500);
    OptionSpec<String> id =
        options.parser().accepts("id", "Id of the target").withRequiredArg().defaultsTo("target");
    OptionSpec<Integer> delay = number(options, "replication-delay-ms", "Delay of the log", 0);
    OptionSpec<Integer> lag = number(options, "apply-lag-ms", "Further lag of replicas' reads", 0);
    OptionSpec<Integer> connections = number(options, "connections", "Connections taken", 20);
    OptionSpec<Integer> connect = number(options, "connect-ms", "Time of a new connection", 0);
    OptionSet parsed = options.parse(arguments, out);
    if (parsed == null) {
      return ExitCode.OK;
    }
    String kind =
        parsed.nonOptionArguments().isEmpty() ? "" : parsed.nonOptionArguments().get(0).toString();
    if (kind.equals("platform")) {
      PlatformStandin platform =
          new PlatformStandin(LOOPBACK, parsed.valueOf(port), parsed.valueOf(listLag)).start();
      out.println("address=" + platform.address());
    } else if (kind.equals("target")) {
      TargetOptions target =
          TargetOptions.builder()
              .id(parsed.valueOf(id))
              .listen(LOOPBACK, parsed.valueOf(port))
              .replicationDelayMs(parsed.valueOf(delay))
              .applyLagMs(parsed.valueOf(lag))
              .maxConnections(parsed.valueOf(connections))
              .connectMs(parsed.valueOf(connect))
              .build();
      out.println("address=" + new TargetStandin(target).start().address());
    } else {
      throw new UsageException("expected platform or target");
    }
    new CountDownLatch(1).await();
    return ExitCode.OK;
  }

  private static OptionSpec<Integer> number(
      Options options, String name, String description, int otherwise) {
    return options
        .parser()
        .accepts(name, description)
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(otherwise);
  }
}
