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
 * Replicates the configuration log: keeps this instance's settings at the newest accepted entry,
 * and appends entries for operators. Entry n is stored under its own key, which is created only if
 * absent, so that accepting an entry is one atomic step and all entries are totally ordered.
 *
 * <p>Thread safety: public methods may be called from any thread; state is confined to the control
 * worker. The current settings are published as one immutable value.
 */
public final class ConfigService {
  private static final String KEY_PREFIX = "config/entry/";
  private static final long WATCH_TIMEOUT_MS = 2_000;
  private static final long RETRY_DELAY_MS = 300;
  private static final int MAX_ENTRIES_PER_MESSAGE = 200;

  /**
   * Number of entries between two snapshots. Less than the number of entries retained, so that
   * peers miss none.
   */
  private static final int SNAPSHOT_INTERVAL_ENTRIES = ConfigLog.MAX_RETAINED_ENTRIES / 4;

  private static final int MAX_WRITE_RETRIES = 20;

  private final Worker worker;
  private final PlatformClient platform;
  private final PeerNetwork peers;
  private final TimerService timer;
  private final long pollIntervalMs;
  private final Consumer<Record> sendToDomain;
  private final Consumer<Settings> onChange;
  private final ConfigLog log = new ConfigLog();
  private final SnapshotStore snapshots;
  private final SnapshotReader peerSnapshotReader = new SnapshotReader();
  private boolean watching;
  private boolean relay = true;
  private volatile Settings settings = new SettingsReader().read(0, new TreeMap<>());
  private volatile SortedMap<String, Team> teams = new TreeMap<>();
  private volatile long lastStoreResponseNanos = System.nanoTime();

  /**
   * Starts with empty settings and loads the stored ones.
   *
   * @param pollIntervalMs interval at which the store is polled, in milliseconds; 0 watches it
   *     instead
   * @param sendToDomain sends to all live instances of the own failure domain; other domains watch
   *     the store themselves
   * @param onChange called on the control worker with new settings, before {@link #settings}
   *     returns them: a request with a key of theirs finds the rate limits already set
   */
  public ConfigService(
      Worker worker,
      PlatformClient platform,
      PeerNetwork peers,
      TimerService timer,
      long pollIntervalMs,
      Consumer<Record> sendToDomain,
      Consumer<Settings> onChange) {
    this.worker = worker;
    this.platform = platform;
    this.peers = peers;
    this.timer = timer;
    this.pollIntervalMs = pollIntervalMs;
    this.sendToDomain = sendToDomain;
    this.onChange = onChange;
    snapshots = new SnapshotStore(platform);
    worker.submit(this::loadSnapshot);
  }

  /** Returns the settings in force. */
  public Settings settings() {
    return settings;
  }

  /** Returns a team's settings in force. */
  public Team team(String name) {
    return teams.getOrDefault(name, Team.EMPTY);
  }

  /** Returns the time since the store's last successful response, in nanoseconds. */
  public long nanosSinceStoreResponse() {
    return System.nanoTime() - lastStoreResponseNanos;
  }

  /** Sets whether this instance watches the store itself; the others get entries from peers. */
  public void setRelay(boolean newRelay) {
    worker.submit(
        () -> {
          boolean becameRelay = newRelay && !relay;
          relay = newRelay;
          if (becameRelay) {
            watchNextEntry();
          }
        });
  }

  /** Applies entries sent by a peer. */
  public void onEntries(ConfigEntries entries) {
    worker.submit(() -> apply(entries.entries()));
  }

  /**
   * Handles a part of a snapshot, which a peer sends when it no longer retains the requested
   * entries.
   */
  public void onSnapshotPart(ConfigSnapshot part) {
    worker.submit(
        () -> {
          SortedMap<String, Team> snapshotTeams = peerSnapshotReader.add(part);
          if (snapshotTeams != null && log.restore(peerSnapshotReader.entry(), snapshotTeams)) {
            publishRestored();
          }
        });
  }

  /** Sends a peer the entries that it requests, or a snapshot if these are not retained. */
  public void onEntriesRequest(String peer, ConfigRequest request) {
    worker.submit(
        () -> {
          if (log.retainsFrom(request.firstEntry())) {
            peers.send(
                peer,
                new ConfigEntries(
                    log.retainedEntries(request.firstEntry(), MAX_ENTRIES_PER_MESSAGE)));
          } else {
            SnapshotWriter.write(log.lastApplied(), log.teams(), SnapshotWriter.MAX_PART_CHARS)
                .forEach(part -> peers.send(peer, part));
          }
        });
  }

  /** Requests the entries missing here from a peer that has applied {@code entry}. */
  public void onPeerEntry(String peer, long entry) {
    worker.submit(
        () -> {
          if (entry > log.lastApplied()) {
            peers.send(peer, new ConfigRequest(log.lastApplied() + 1));
          }
        });
  }

  /**
   * Appends a change of a team's subtree to the log. The result is the entry's number, or fails
   * with a {@link ProxyException}.
   */
  public CompletableFuture<Long> submitChange(
      String team, long baseRevision, String changeId, List<SectionChange> changes) {
    CompletableFuture<Long> result = new CompletableFuture<>();
    worker.submit(
        () ->
            propose(
                new Proposal(team, baseRevision, changeId, changes, result), MAX_WRITE_RETRIES));
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

  /** Loads the newest snapshot, so that only later entries are read one by one. */
  private void loadSnapshot() {
    snapshots
        .read()
        .whenComplete(
            (snapshot, failure) ->
                worker.submit(
                    () -> {
                      if (snapshot != null && log.restore(snapshot.entry(), snapshot.teams())) {
                        publishRestored();
                      }
                      watchNextEntry();
                    }));
  }

  private void watchNextEntry() {
    if (watching || !relay) {
      return;
    }
    watching = true;
    platform
        .watch(key(log.lastApplied() + 1), 0, pollIntervalMs > 0 ? 0 : WATCH_TIMEOUT_MS)
        .whenComplete(
            (value, failure) ->
                worker.submit(
                    () -> {
                      watching = false;
                      onWatchResult(value, failure);
                    }));
  }

  private void onWatchResult(StoredValue value, Throwable failure) {
    if (failure != null) {
      long jitterMs = ThreadLocalRandom.current().nextLong(RETRY_DELAY_MS);
      timer.after(RETRY_DELAY_MS + jitterMs, () -> worker.submit(this::watchNextEntry));
      return;
    }
    lastStoreResponseNanos = System.nanoTime();
    if (value != null) {
      apply(List.of(Json.read(value.value(), ConfigEntry.class)));
    } else if (pollIntervalMs > 0) {
      timer.after(pollIntervalMs, () -> worker.submit(this::watchNextEntry));
      return;
    }
    watchNextEntry();
  }

  private void apply(List<ConfigEntry> entries) {
    final long before = log.lastApplied();
    if (!log.apply(entries)) {
      return;
    }
    Set<String> changed = new HashSet<>();
    log.retainedEntries(before + 1, Integer.MAX_VALUE).forEach(entry -> changed.add(entry.team()));
    teams = log.teams();
    SettingsReader reader = new SettingsReader();
    publish(reader.update(settings, log.lastApplied(), teams, changed), reader);
    if (pollIntervalMs == 0) {
      ConfigEntries newEntries =
          new ConfigEntries(log.retainedEntries(before + 1, MAX_ENTRIES_PER_MESSAGE));
      sendToDomain.accept(newEntries);
    }
  }

  private void publishRestored() {
    teams = log.teams();
    SettingsReader reader = new SettingsReader();
    publish(reader.read(log.lastApplied(), teams), reader);
  }

  private void publish(Settings newSettings, SettingsReader reader) {
    for (SettingsProblem problem : reader.problems()) {
      Logger.warn("event=settings_problem detail=\"{}\"", problem);
    }
    onChange.accept(newSettings);
    settings = newSettings;
    Logger.info("event=settings_in_force entry={}", log.lastApplied());
  }

  private void propose(Proposal proposal, int retriesLeft) {
    if (completeIfAccepted(proposal)) {
      return;
    }
    long revision = log.team(proposal.team).revision();
    if (revision != proposal.baseRevision) {
      proposal.result.completeExceptionally(
          new ProxyException(
              ResultCode.SETTINGS_CONFLICT,
              "change is based on revision "
                  + proposal.baseRevision
                  + ", current revision is "
                  + revision));
      return;
    }
    List<SettingsProblem> problems = problemsWith(proposal);
    if (!problems.isEmpty()) {
      proposal.result.completeExceptionally(
          new ProxyException(ResultCode.BAD_SETTINGS, problems.toString()));
      return;
    }
    write(proposal, retriesLeft);
  }

  private boolean completeIfAccepted(Proposal proposal) {
    ConfigEntry accepted = log.findByChangeId(proposal.changeId);
    if (accepted != null) {
      proposal.result.complete(accepted.number());
    }
    return accepted != null;
  }

  private void write(Proposal proposal, int retriesLeft) {
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
                worker.submit(() -> onWriteResult(proposal, entry, written, failure, retriesLeft)));
  }

  private void onWriteResult(
      Proposal proposal,
      ConfigEntry entry,
      StoredValue written,
      Throwable failure,
      int retriesLeft) {
    if (written != null) {
      apply(List.of(entry));
      proposal.result.complete(entry.number());
      if (entry.number() % SNAPSHOT_INTERVAL_ENTRIES == 0) {
        snapshots.write(log.lastApplied(), log.teams());
      }
      return;
    }
    // After a conflict or a lost answer, the entry stored under this number decides.
    platform
        .get(key(entry.number()))
        .whenComplete(
            (value, readFailure) ->
                worker.submit(
                    () ->
                        resolveUnconfirmedWrite(
                            proposal, value, failure, readFailure, retriesLeft)));
  }

  private void resolveUnconfirmedWrite(
      Proposal proposal,
      StoredValue value,
      Throwable writeFailure,
      Throwable readFailure,
      int retriesLeft) {
    if (value != null) {
      apply(List.of(Json.read(value.value(), ConfigEntry.class)));
      propose(proposal, retriesLeft - 1);
      return;
    }
    if (retriesLeft <= 0) {
      ResultCode code =
          writeFailure == null ? ResultCode.STORE_UNAVAILABLE : ResultCode.SETTINGS_UNKNOWN;
      proposal.result.completeExceptionally(new ProxyException(code, null, RETRY_DELAY_MS));
      return;
    }
    long delayMs = readFailure == null ? 1 : RETRY_DELAY_MS;
    timer.after(delayMs, () -> worker.submit(() -> propose(proposal, retriesLeft - 1)));
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
    Settings candidateSettings = reader.read(log.lastApplied() + 1, candidate);
    List<SettingsProblem> problems = new ArrayList<>(reader.problems());
    problems.removeIf(problem -> !problem.team().equals(proposal.team));
    if (!settings.slots().isEmpty() && !candidateSettings.slots().equals(settings.slots())) {
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
