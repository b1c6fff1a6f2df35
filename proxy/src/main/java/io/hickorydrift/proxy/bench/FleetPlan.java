package io.hickorydrift.proxy.bench;

import io.hickorydrift.proxy.control.Policy;
import io.hickorydrift.proxy.settings.KeyDigest;
import io.hickorydrift.standin.target.TargetOptions;
import java.util.List;
import java.util.Map;

/**
 * Size and settings of a local fleet.
 *
 * <p>Thread safety: immutable.
 *
 * @param domains failure domains
 * @param instances number of instances, spread over the domains round robin
 * @param groups number of database groups
 * @param targetsPerGroup targets of each group, spread over the domains round robin
 * @param homesPerDomain homes of each group in a failure domain
 * @param organisations number of organisations, each with one key
 * @param ratePerSecond rate limit of each organisation
 * @param burst burst limit of each organisation
 * @param connections connection limit of each target
 * @param connectMs time to open a connection to a target, in milliseconds
 * @param replicationDelayMs delay of the replicated log, in milliseconds
 * @param applyLagMs further lag of replicas until the log is applied, in milliseconds
 * @param statementMs execution time of a statement, in milliseconds
 * @param listLagMs lag of the platform's machine list, in milliseconds
 * @param stopNoticeMs how long a stopping instance still accepts requests, in milliseconds
 * @param policy policies of the instances
 */
public record FleetPlan(
    List<String> domains,
    int instances,
    int groups,
    int targetsPerGroup,
    int homesPerDomain,
    int organisations,
    long ratePerSecond,
    long burst,
    int connections,
    long connectMs,
    long replicationDelayMs,
    long applyLagMs,
    long statementMs,
    long listLagMs,
    long stopNoticeMs,
    Policy policy) {

  /** Team that declares organisations, keys and routes. */
  public static final String TEAM = "portal";

  /** Returns a builder with defaults: three domains with one instance each, and one group. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the id of a target. */
  public static String targetId(int group, int target) {
    return "t-" + group + "-" + target;
  }

  /** Returns the name of a group. */
  public static String groupName(int group) {
    return "group-" + group;
  }

  /** Returns the key of an organisation. */
  public static String key(int organisation) {
    return "local-key-" + organisation;
  }

  /** Returns the name of an organisation. */
  public static String organisationName(int organisation) {
    return "org-" + organisation;
  }

  String domainOfInstance(int instance) {
    return domains.get(instance % domains.size());
  }

  String domainOfTarget(int target) {
    return domains.get(target % domains.size());
  }

  int slotCount() {
    return instances;
  }

  TargetOptions targetOptions(String id) {
    return TargetOptions.builder()
        .id(id)
        .maxConnections(connections)
        .connectMs(connectMs)
        .replicationDelayMs(replicationDelayMs)
        .applyLagMs(applyLagMs)
        .statementMs(statementMs)
        .build();
  }

  /** Returns the declaration of the fleet's own team: slots, groups and targets. */
  public String fleetDeclaration(Map<String, String> targetAddresses) {
    StringBuilder text = new StringBuilder();
    for (int d = 0; d < domains.size(); d++) {
      int count = instances / domains.size() + (d < instances % domains.size() ? 1 : 0);
      if (count > 0) {
        text.append("[slots ").append(domains.get(d)).append("]\ncount = ").append(count);
        text.append("\n");
      }
    }
    for (int g = 0; g < groups; g++) {
      text.append("[group ").append(groupName(g)).append("]\nhomes_per_domain = ");
      text.append(homesPerDomain).append("\n");
      for (int t = 0; t < targetsPerGroup; t++) {
        String id = targetId(g, t);
        text.append("[target ").append(id).append("]\ngroup = ").append(groupName(g));
        text.append("\naddress = ").append(targetAddresses.get(id));
        text.append("\nfailure_domain = ").append(domainOfTarget(t));
        text.append("\nconnections = ").append(connections).append("\n");
      }
    }
    return text.toString();
  }

  /** Returns the declaration of the team that owns organisations, keys and routes. */
  public String teamDeclaration() {
    StringBuilder text = new StringBuilder();
    for (int o = 0; o < organisations; o++) {
      text.append("[organisation ").append(organisationName(o)).append("]\nrate_per_s = ");
      text.append(ratePerSecond).append("\nburst = ").append(burst).append("\n");
      text.append("[key k-").append(o).append("]\norganisation = ").append(organisationName(o));
      text.append("\ndigest = ").append(KeyDigest.of(key(o))).append("\n");
    }
    for (int g = 0; g < groups; g++) {
      for (String access : List.of("read", "write", "transaction")) {
        text.append("[route ").append(access).append('-').append(g).append("]\ngroup = ");
        text.append(groupName(g)).append("\naccess = ").append(access);
        text.append("\ndeadline_ms = 5000\n");
      }
    }
    return text.toString();
  }

  /** Builds plans. Not thread safe. */
  public static final class Builder {
    private List<String> domains = List.of("d1", "d2", "d3");
    private int instances = 3;
    private int groups = 1;
    private int targetsPerGroup = 3;
    private int homesPerDomain = 1;
    private int organisations = 2;
    private long ratePerSecond = 100_000;
    private long burst = 100_000;
    private int connections = 20;
    private long connectMs = 1;
    private long replicationDelayMs;
    private long applyLagMs;
    private long statementMs;
    private long listLagMs = 200;
    private long stopNoticeMs = 300;
    private Policy policy = Policy.STANDARD;

    /** Sets the failure domains. */
    public Builder domains(List<String> domains) {
      this.domains = List.copyOf(domains);
      return this;
    }

    /** Sets the number of instances. */
    public Builder instances(int instances) {
      this.instances = instances;
      return this;
    }

    /** Sets the number of groups. */
    public Builder groups(int groups) {
      this.groups = groups;
      return this;
    }

    /** Sets the number of homes of each group in a failure domain. */
    public Builder homesPerDomain(int homesPerDomain) {
      this.homesPerDomain = homesPerDomain;
      return this;
    }

    /** Sets the number of organisations. */
    public Builder organisations(int organisations) {
      this.organisations = organisations;
      return this;
    }

    /** Sets the rate and burst limits of each organisation. */
    public Builder rateLimit(long ratePerSecond, long burst) {
      this.ratePerSecond = ratePerSecond;
      this.burst = burst;
      return this;
    }

    /** Sets the connection limit of each target and the time to open a connection. */
    public Builder connections(int connections, long connectMs) {
      this.connections = connections;
      this.connectMs = connectMs;
      return this;
    }

    /**
     * Sets the delay of the log and the further lag of replicas until the log is applied, in
     * milliseconds.
     */
    public Builder replicationLag(long replicationDelayMs, long applyLagMs) {
      this.replicationDelayMs = replicationDelayMs;
      this.applyLagMs = applyLagMs;
      return this;
    }

    /** Sets the execution time of a statement, in milliseconds. */
    public Builder statementMs(long statementMs) {
      this.statementMs = statementMs;
      return this;
    }

    /** Sets the policies of the instances. */
    public Builder policy(Policy policy) {
      this.policy = policy;
      return this;
    }

    /** Returns the plan. */
    public FleetPlan build() {
      return new FleetPlan(
          domains,
          instances,
          groups,
          targetsPerGroup,
          homesPerDomain,
          organisations,
          ratePerSecond,
          burst,
          connections,
          connectMs,
          replicationDelayMs,
          applyLagMs,
          statementMs,
          listLagMs,
          stopNoticeMs,
          policy);
    }
  }
}
