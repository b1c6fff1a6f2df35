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
 * Platform, targets and instances on loopback in one process.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class LocalFleet implements AutoCloseable {
  /** Credential of the fleet's own team. */
  public static final String CREDENTIAL = "local-fleet-credential";

  /** Secret that the fleet's instances share. */
  public static final String SECRET = "local-fleet-secret-of-some-length";

  private static final String LOOPBACK = "127.0.0.1";
  private static final long POLL_MS = 10;

  private final PlatformStandin platform;
  private final Map<String, TargetStandin> targets = new LinkedHashMap<>();
  private final List<Instance> instances = new ArrayList<>();
  private final FleetPlan plan;
  private final BinaryOperator<String> published;

  /** Starts everything in {@code plan} and waits until each group has a primary. */
  public static LocalFleet start(FleetPlan plan) {
    return start(plan, (id, address) -> address);
  }

  /**
   * Starts everything in {@code plan}.
   *
   * @param published gives the address under which a target or instance is made known, from its id
   *     and its own address
   */
  public static LocalFleet start(FleetPlan plan, BinaryOperator<String> published) {
    LocalFleet fleet = new LocalFleet(plan, published);
    fleet.startTargets();
    for (int i = 0; i < plan.instances(); i++) {
      fleet.addInstance();
    }
    fleet.applyAll();
    fleet.await("all instances ready", fleet::allReady);
    return fleet;
  }

  private LocalFleet(FleetPlan plan, BinaryOperator<String> published) {
    this.plan = plan;
    this.published = published;
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

  /** Starts one more instance. */
  public Instance addInstance() {
    int number = instances.size();
    String id = "i-" + number;
    Map<String, String> seeds = new LinkedHashMap<>();
    for (Instance peer : instances) {
      seeds.put(peer.id(), published.apply(peer.id(), peer.peersAddress()));
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
            published.apply(id, instance.peersAddress()),
            plan.domainOfInstance(number),
            false));
    return instance;
  }

  private void applyAll() {
    Map<String, String> addresses = new LinkedHashMap<>();
    targets.forEach((id, target) -> addresses.put(id, published.apply(id, target.address())));
    apply("fleet", plan.fleetDeclaration(addresses));
    apply(FleetPlan.TEAM, plan.teamDeclaration());
  }

  /** Makes a team's subtree what {@code declaration} says; returns the entry's number. */
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

  /** Returns an operator at an instance. */
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

  /** Waits until {@code condition} holds; fails after a minute. */
  public void await(String what, BooleanSupplier condition) {
    long endNanos = System.nanoTime() + 60_000_000_000L;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > endNanos) {
        throw new IllegalStateException("not within a minute: " + what);
      }
      pause();
    }
  }

  private static void pause() {
    try {
      Thread.sleep(POLL_MS);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Has the platform list a target as leaving. */
  public void listAsLeaving(String target) {
    int number = Integer.parseInt(target.substring(target.lastIndexOf('-') + 1));
    platform.updateMachine(
        target,
        new ListedMachine(
            target, targets.get(target).address(), plan.domainOfTarget(number), true));
  }

  /** Returns the platform. */
  public PlatformStandin platform() {
    return platform;
  }

  /** Returns the instances in the order of their start. */
  public List<Instance> instances() {
    return instances;
  }

  /** Returns the targets by id. */
  public Map<String, TargetStandin> targets() {
    return targets;
  }

  /** Returns the highest term of a group that an instance knows. */
  public long highestTerm(String group) {
    long newest = 0;
    for (Instance instance : instances) {
      GroupStatus status = instance.status().groups().get(group);
      newest = Math.max(newest, status == null ? 0 : status.term());
    }
    return newest;
  }

  /** Returns the primary of the highest term that an instance knows, null if none is. */
  public String primary(String group) {
    long newest = highestTerm(group);
    for (Instance instance : instances) {
      GroupStatus status = instance.status().groups().get(group);
      if (status != null && status.term() == newest && status.primary() != null) {
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
