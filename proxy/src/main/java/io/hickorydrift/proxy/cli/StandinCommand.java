package io.hickorydrift.proxy.cli;

import io.hickorydrift.standin.platform.PlatformStandin;
import io.hickorydrift.standin.target.TargetOptions;
import io.hickorydrift.standin.target.TargetStandin;
import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Runs a stand-in platform or target in this process until it is killed. */
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
    OptionSpec<Integer> port = intOption(options, "port", "Port on loopback, 0 for any", 0);
    OptionSpec<Integer> listLag =
        intOption(options, "list-lag-ms", "Lag of the platform's target list", 500);
    OptionSpec<String> id =
        options.parser().accepts("id", "Id of the target").withRequiredArg().defaultsTo("target");
    OptionSpec<Integer> delay =
        intOption(options, "replication-delay-ms", "Delay of log replication", 0);
    OptionSpec<Integer> lag =
        intOption(options, "apply-lag-ms", "Additional lag of reads on replicas", 0);
    OptionSpec<Integer> connections =
        intOption(options, "connections", "Maximum number of connections", 20);
    OptionSpec<Integer> connect = intOption(options, "connect-ms", "Time to open a connection", 0);
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

  private static OptionSpec<Integer> intOption(
      Options options, String name, String description, int defaultValue) {
    return options
        .parser()
        .accepts(name, description)
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(defaultValue);
  }
}
