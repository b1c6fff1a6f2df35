package io.hickorydrift.proxy.bench;

import io.hickorydrift.core.config.SettingsDiff;
import io.hickorydrift.core.message.ListedMachine;
import io.hickorydrift.proxy.Instance;
import io.hickorydrift.proxy.cli.OperatorClient;
import io.hickorydrift.proxy.home.GroupStatus;
import io.hickorydrift.proxy.intake.OperatorHandler.Change;
import io.hickorydrift.proxy.intake.OperatorHandler.Subtree;
import io.hickorydrift.proxy.settings.IniFile;
import io.hickorydrift.proxy.settings.InstanceSettings;
import io.hickorydrift.proxy.settings.KeyDigest;
import io.hickorydrift.standin.platform.PlatformStandin;
import io.hickorydrift.standin.target.TargetStandin;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.function.BinaryOperator;
import java.util.function.BooleanSupplier;

/**
 * Runs stand-ins of the platform and its targets, and instances, on loopback in one process.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class LocalFleet implements AutoCloseable {
  /** Credential of the fleet's own team. */
  public static final String CREDENTIAL = "local-fleet-credential";

  /** Shared secret of the fleet's instances. */
  public static final String SECRET = "local-fleet-secret-of-some-length";

  private static final String LOOPBACK = "127.0.0.1";
  private static final long POLL_MS = 10;

  private final PlatformStandin platform;
  private final Map<String, TargetStandin> targets = new LinkedHashMap<>();
  private final List<Instance> instances = new ArrayList<>();
  private final FleetPlan plan;
  private final BinaryOperator<String> advertisedAddress;

  /**
   * Starts the fleet of {@code plan} and waits until instances are ready and groups have primaries.
   */
  public static LocalFleet start(FleetPlan plan) {
    return start(plan, (id, address) -> address);
  }

  /**
   * Starts the fleet of {@code plan} and waits until all instances are ready and each group has a
   * primary.
   *
   * @param advertisedAddress maps the id of a target or instance and its own address to the address
   *     that is advertised for it
   */
  public static LocalFleet start(FleetPlan plan, BinaryOperator<String> advertisedAddress) {
    LocalFleet fleet = new LocalFleet(plan, advertisedAddress);
    fleet.startTargets();
    for (int i = 0; i < plan.instances(); i++) {
      fleet.addInstance();
    }
    fleet.applyDeclarations();
    fleet.await("all instances ready", fleet::allReady);
    return fleet;
  }

  private LocalFleet(FleetPlan plan, BinaryOperator<String> advertisedAddress) {
    this.plan = plan;
    this.advertisedAddress = advertisedAddress;
    platform = new PlatformStandin(LOOPBACK, 0, plan.listLagMs()).start();
  }

  private void startTargets() {
    for (int g = 0; g < plan.groups(); g++) {
      Map<String, String> addresses = new LinkedHashMap<>();
      for (int t = 0; t < plan.targetsPerGroup(); t++) {
        String id = FleetPlan.targetId(g, t);
        TargetStandin target = new TargetStandin(plan.targetOptions(id)).start();
        targets.put(id, target);
        addresses.put(id, target.address());
        platform.updateMachine(
            id, new ListedMachine(id, target.address(), plan.domainOfTarget(t), false));
      }
      addresses.keySet().forEach(id -> targets.get(id).setPeers(addresses));
    }
  }

  /** Starts one more instance, seeded with all running ones. */
  public Instance addInstance() {
    int number = instances.size();
    String id = "i-" + number;
    Map<String, String> seeds = new LinkedHashMap<>();
    for (Instance peer : instances) {
      seeds.put(peer.id(), advertisedAddress.apply(peer.id(), peer.peersAddress()));
    }
    InstanceSettings settings =
        InstanceSettings.builder()
            .id(id)
            .failureDomain(plan.domainOfInstance(number))
            .platformAddress(platform.address())
            .fleetSecret(SECRET)
            .operatorCredential(KeyDigest.of(CREDENTIAL))
            .seeds(seeds)
            .stopNoticeMs(plan.stopNoticeMs())
            .build();
    Instance instance = new Instance(settings, plan.policy()).start();
    instances.add(instance);
    platform.updateMachine(
        id,
        new ListedMachine(
            id,
            advertisedAddress.apply(id, instance.peersAddress()),
            plan.domainOfInstance(number),
            false));
    return instance;
  }

  private void applyDeclarations() {
    Map<String, String> addresses = new LinkedHashMap<>();
    targets.forEach(
        (id, target) -> addresses.put(id, advertisedAddress.apply(id, target.address())));
    apply("fleet", plan.fleetDeclaration(addresses));
    apply(FleetPlan.TEAM, plan.teamDeclaration());
  }

  /** Changes a team's subtree to {@code declaration} and returns the number of the config entry. */
  public long apply(String team, String declaration) {
    OperatorClient operator = operator(0);
    Subtree current = operator.subtree(team);
    Change change =
        new Change(
            current.revision(),
            UUID.randomUUID().toString(),
            SettingsDiff.between(current.sections(), IniFile.parse(team, declaration)));
    return operator.submitChange(team, change).entry();
  }

  /** Returns an operator's client for an instance. */
  public OperatorClient operator(int instance) {
    return new OperatorClient(instances.get(instance).operatorsAddress(), CREDENTIAL);
  }

  private boolean allReady() {
    int slots = 0;
    int homes = 0;
    for (Instance instance : instances) {
      if (!instance.ready() || instance.status().peers().size() < instances.size() - 1) {
        return false;
      }
      slots += instance.status().slot() >= 0 ? 1 : 0;
      for (GroupStatus group : instance.status().groups().values()) {
        homes += 1;
        if (group.primary() == null) {
          return false;
        }
      }
    }
    return slots == Math.min(plan.slotCount(), instances.size()) && homes >= plan.groups();
  }

  /** Waits until {@code condition} holds, or fails after a minute. */
  public void await(String description, BooleanSupplier condition) {
    long deadlineNanos = System.nanoTime() + 60_000_000_000L;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadlineNanos) {
        throw new IllegalStateException("timed out after a minute: " + description);
      }
      sleepPollInterval();
    }
  }

  private static void sleepPollInterval() {
    try {
      Thread.sleep(POLL_MS);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Lists a target as leaving on the platform. */
  public void listAsLeaving(String target) {
    int number = Integer.parseInt(target.substring(target.lastIndexOf('-') + 1));
    platform.updateMachine(
        target,
        new ListedMachine(
            target, targets.get(target).address(), plan.domainOfTarget(number), true));
  }

  /** Returns the stand-in of the platform. */
  public PlatformStandin platform() {
    return platform;
  }

  /** Returns the instances in the order of their start. */
  public List<Instance> instances() {
    return instances;
  }

  /** Returns the stand-ins of the targets by id. */
  public Map<String, TargetStandin> targets() {
    return targets;
  }

  /** Returns the highest term of a group in any instance's status. */
  public long highestTerm(String group) {
    long highest = 0;
    for (Instance instance : instances) {
      GroupStatus status = instance.status().groups().get(group);
      highest = Math.max(highest, status == null ? 0 : status.term());
    }
    return highest;
  }

  /** Returns the primary of a group's highest term in any instance's status, or null. */
  public String primary(String group) {
    long highest = highestTerm(group);
    for (Instance instance : instances) {
      GroupStatus status = instance.status().groups().get(group);
      if (status != null && status.term() == highest && status.primary() != null) {
        return status.primary();
      }
    }
    return null;
  }

  @Override
  public void close() {
    instances.forEach(Instance::close);
    targets.values().forEach(TargetStandin::close);
    platform.close();
  }
}
