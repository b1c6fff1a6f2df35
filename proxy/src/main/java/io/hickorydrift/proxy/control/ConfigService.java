package io.hickorydrift.proxy.control;

import io.hickorydrift.core.config.ConfigLog;
import io.hickorydrift.core.config.Settings;
import io.hickorydrift.core.config.SettingsProblem;
import io.hickorydrift.core.config.SettingsReader;
import io.hickorydrift.core.config.SnapshotReader;
import io.hickorydrift.core.config.SnapshotWriter;
import io.hickorydrift.core.config.Team;
import io.hickorydrift.core.error.ProxyException;
import io.hickorydrift.core.error.ResultCode;
import io.hickorydrift.core.message.ConfigEntries;
import io.hickorydrift.core.message.ConfigEntry;
import io.hickorydrift.core.message.ConfigRequest;
import io.hickorydrift.core.message.ConfigSnapshot;
import io.hickorydrift.core.message.SectionChange;
import io.hickorydrift.core.message.StoredValue;
import io.hickorydrift.proxy.peer.PeerNetwork;
import io.hickorydrift.proxy.platform.PlatformClient;
import io.hickorydrift.proxy.runtime.Json;
import io.hickorydrift.proxy.runtime.TimerService;
import io.hickorydrift.proxy.runtime.Worker;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * Keeps this instance's settings at the newest accepted configuration entry, and writes new entries
 * for operators. Entry n is a key of the store that is created if absent, so acceptance is one
 * atomic step and all entries have one order.
 *
 * <p>Thread safety: public methods may be called from any thread; state belongs to the control
 * duty. The current settings are published as one immutable value.
 */
public final class ConfigService {
  private static final String KEY_PREFIX = "config/entry/";
  private static final long WATCH_MS = 2_000;
  private static final long RETRY_MS = 300;
  private static final int BATCH = 200;

  /** Entries between two snapshots; fewer than are kept, so that none is missed by peers. */
  private static final int SNAPSHOT_ENTRIES = ConfigLog.MAX_RETAINED_ENTRIES / 4;

  private static final int APPLY_TRIES = 20;

  private final Worker duty;
  private final PlatformClient platform;
  private final PeerNetwork peers;
  private final TimerService timer;
  private final long pollMs;
  private final Consumer<Record> domain;
  private final Consumer<Settings> onChange;
  private final ConfigLog log = new ConfigLog();
  private final SnapshotStore snapshots;
  private final SnapshotReader peerSnapshot = new SnapshotReader();
  private boolean watching;
  private boolean relay = true;
  private volatile Settings settings = new SettingsReader().read(0, new TreeMap<>());
  private volatile SortedMap<String, Team> teams = new TreeMap<>();
  private volatile long storeAnsweredNanos = System.nanoTime();

  /**
   * Starts with no settings; {@code onChange} is called on the control duty. With a {@code pollMs}
   * above 0 the store is polled and not watched. {@code domain} sends to all live instances of the
   * own failure domain; other domains watch the store themselves.
   */
  public ConfigService(
      Worker duty,
      PlatformClient platform,
      PeerNetwork peers,
      TimerService timer,
      long pollMs,
      Consumer<Record> domain,
      Consumer<Settings> onChange) {
    this.duty = duty;
    this.platform = platform;
    this.peers = peers;
    this.timer = timer;
    this.pollMs = pollMs;
    this.domain = domain;
    this.onChange = onChange;
    snapshots = new SnapshotStore(platform);
    duty.submit(this::begin);
  }

  /** Returns the settings in force. */
  public Settings settings() {
    return settings;
  }

  /** Returns a team's settings in force. */
  public Team team(String name) {
    return teams.getOrDefault(name, Team.EMPTY);
  }

  /** Returns how long the store has not answered, in nanoseconds. */
  public long nanosSinceStoreResponse() {
    return System.nanoTime() - storeAnsweredNanos;
  }

  /** Sets whether this instance watches the store itself; others learn from peers. */
  public void setRelay(boolean newRelay) {
    duty.submit(
        () -> {
          boolean becomes = newRelay && !relay;
          relay = newRelay;
          if (becomes) {
            follow();
          }
        });
  }

  /** A peer sent entries. */
  public void received(ConfigEntries entries) {
    duty.submit(() -> apply(entries.entries()));
  }

  /** A peer sent a part of a snapshot, since it no longer keeps the entries asked for. */
  public void received(ConfigSnapshot part) {
    duty.submit(
        () -> {
          SortedMap<String, Team> whole = peerSnapshot.add(part);
          if (whole != null && log.restore(peerSnapshot.entry(), whole)) {
            inForce();
          }
        });
  }

  /** A peer asks for entries. */
  public void onEntriesRequest(String peer, ConfigRequest request) {
    duty.submit(
        () -> {
          if (log.retainsFrom(request.firstEntry())) {
            peers.send(peer, new ConfigEntries(log.retainedEntries(request.firstEntry(), BATCH)));
          } else {
            SnapshotWriter.write(log.lastApplied(), log.teams(), SnapshotWriter.MAX_PART_CHARS)
                .forEach(part -> peers.send(peer, part));
          }
        });
  }

  /** A peer has told that it is at {@code entry}; asks it for what is missing here. */
  public void onPeerEntry(String peer, long entry) {
    duty.submit(
        () -> {
          if (entry > log.lastApplied()) {
            peers.send(peer, new ConfigRequest(log.lastApplied() + 1));
          }
        });
  }

  /**
   * Accepts a change of a team's subtree. The result is the entry's number, or fails with {@link
   * ProxyException}.
   */
  public CompletableFuture<Long> submitChange(
      String team, long baseRevision, String changeId, List<SectionChange> changes) {
    CompletableFuture<Long> result = new CompletableFuture<>();
    duty.submit(
        () -> propose(new Proposal(team, baseRevision, changeId, changes, result), APPLY_TRIES));
    return result;
  }

  private record Proposal(
      String team,
      long baseRevision,
      String changeId,
      List<SectionChange> changes,
      CompletableFuture<Long> result) {}

  private static String key(long number) {
    return KEY_PREFIX + String.format("%012d", number);
  }

  /** Starts from the newest snapshot, so that only the entries after it are read one by one. */
  private void begin() {
    snapshots
        .read()
        .whenComplete(
            (snapshot, failure) ->
                duty.submit(
                    () -> {
                      if (snapshot != null && log.restore(snapshot.entry(), snapshot.teams())) {
                        inForce();
                      }
                      follow();
                    }));
  }

  private void follow() {
    if (watching || !relay) {
      return;
    }
    watching = true;
    platform
        .watch(key(log.lastApplied() + 1), 0, pollMs > 0 ? 0 : WATCH_MS)
        .whenComplete(
            (value, failure) ->
                duty.submit(
                    () -> {
                      watching = false;
                      followed(value, failure);
                    }));
  }

  private void followed(StoredValue value, Throwable failure) {
    if (failure != null) {
      long jitterMs = ThreadLocalRandom.current().nextLong(RETRY_MS);
      timer.after(RETRY_MS + jitterMs, () -> duty.submit(this::follow));
      return;
    }
    storeAnsweredNanos = System.nanoTime();
    if (value != null) {
      apply(List.of(Json.read(value.value(), ConfigEntry.class)));
    } else if (pollMs > 0) {
      timer.after(pollMs, () -> duty.submit(this::follow));
      return;
    }
    follow();
  }

  private void apply(List<ConfigEntry> offered) {
    final long before = log.lastApplied();
    if (!log.apply(offered)) {
      return;
    }
    Set<String> changed = new HashSet<>();
    log.retainedEntries(before + 1, Integer.MAX_VALUE).forEach(entry -> changed.add(entry.team()));
    teams = log.teams();
    SettingsReader reader = new SettingsReader();
    publish(reader.update(settings, log.lastApplied(), teams, changed), reader);
    if (pollMs == 0) {
      ConfigEntries news = new ConfigEntries(log.retainedEntries(before + 1, BATCH));
      domain.accept(news);
    }
  }

  private void inForce() {
    teams = log.teams();
    SettingsReader reader = new SettingsReader();
    publish(reader.read(log.lastApplied(), teams), reader);
  }

  private void publish(Settings read, SettingsReader reader) {
    settings = read;
    for (SettingsProblem problem : reader.problems()) {
      Logger.warn("event=settings_problem detail=\"{}\"", problem);
    }
    Logger.info("event=settings_in_force entry={}", log.lastApplied());
    onChange.accept(settings);
  }

  private void propose(Proposal proposal, int triesLeft) {
    if (alreadyAccepted(proposal)) {
      return;
    }
    long revision = log.team(proposal.team).revision();
    if (revision != proposal.baseRevision) {
      proposal.result.completeExceptionally(
          new ProxyException(
              ResultCode.SETTINGS_CONFLICT,
              "based on revision " + proposal.baseRevision + ", now at " + revision));
      return;
    }
    List<SettingsProblem> problems = problemsWith(proposal);
    if (!problems.isEmpty()) {
      proposal.result.completeExceptionally(
          new ProxyException(ResultCode.BAD_SETTINGS, problems.toString()));
      return;
    }
    write(proposal, triesLeft);
  }

  private boolean alreadyAccepted(Proposal proposal) {
    ConfigEntry accepted = log.findByChangeId(proposal.changeId);
    if (accepted != null) {
      proposal.result.complete(accepted.number());
    }
    return accepted != null;
  }

  private void write(Proposal proposal, int triesLeft) {
    ConfigEntry entry =
        new ConfigEntry(
            log.lastApplied() + 1,
            proposal.team,
            proposal.baseRevision,
            proposal.changeId,
            proposal.changes);
    platform
        .compareAndSwap(key(entry.number()), Json.write(entry), 0)
        .whenComplete(
            (written, failure) ->
                duty.submit(() -> wrote(proposal, entry, written, failure, triesLeft)));
  }

  private void wrote(
      Proposal proposal, ConfigEntry entry, StoredValue written, Throwable failure, int tries) {
    if (written != null) {
      apply(List.of(entry));
      proposal.result.complete(entry.number());
      if (entry.number() % SNAPSHOT_ENTRIES == 0) {
        snapshots.write(log.lastApplied(), log.teams());
      }
      return;
    }
    // A conflict or a lost answer: what stands in the store under this number decides.
    platform
        .get(key(entry.number()))
        .whenComplete(
            (value, readFailure) ->
                duty.submit(() -> settle(proposal, value, failure, readFailure, tries)));
  }

  private void settle(
      Proposal proposal,
      StoredValue value,
      Throwable writeFailure,
      Throwable readFailure,
      int tries) {
    if (value != null) {
      apply(List.of(Json.read(value.value(), ConfigEntry.class)));
      propose(proposal, tries - 1);
      return;
    }
    if (tries <= 0) {
      ResultCode code =
          writeFailure == null ? ResultCode.STORE_UNAVAILABLE : ResultCode.SETTINGS_UNKNOWN;
      proposal.result.completeExceptionally(new ProxyException(code, null, RETRY_MS));
      return;
    }
    long pauseMs = readFailure == null ? 1 : RETRY_MS;
    timer.after(pauseMs, () -> duty.submit(() -> propose(proposal, tries - 1)));
  }

  private List<SettingsProblem> problemsWith(Proposal proposal) {
    SortedMap<String, Team> candidate = new TreeMap<>(log.teams());
    Team team = log.team(proposal.team);
    SortedMap<String, Map<String, String>> sections = new TreeMap<>(team.sections());
    for (SectionChange change : proposal.changes) {
      if (change.values() == null) {
        sections.remove(change.section());
      } else {
        sections.put(change.section(), change.values());
      }
    }
    candidate.put(proposal.team, new Team(team.revision(), sections));
    SettingsReader reader = new SettingsReader();
    reader.checkKinds(proposal.team, sections);
    Settings read = reader.read(log.lastApplied() + 1, candidate);
    List<SettingsProblem> problems = new ArrayList<>(reader.problems());
    problems.removeIf(problem -> !problem.team().equals(proposal.team));
    if (!settings.slots().isEmpty() && !read.slots().equals(settings.slots())) {
      problems.add(
          new SettingsProblem(
              proposal.team,
              "slots",
              null,
              "the number of slots cannot change while the fleet runs"));
    }
    return problems;
  }
}
