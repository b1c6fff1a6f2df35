package io.hickorydrift.proxy.gateway;

import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.settings.SettingsException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * Reads the settings file when a signal reports a change, and periodically, since a change may come
 * without a signal. New text is applied once it has been read twice in a row, so that a file that
 * is still being written is not; text with an invalid setting is rejected as a whole.
 *
 * <p>Invariant: the settings in force are valid and were read twice. Thread safety: confined to the
 * loop's thread.
 */
public final class SettingsReloader {
  private static final long CHECK_INTERVAL_MS = 1_000;
  // Longer than it takes to write a file of a few hundred bytes.
  private static final long CONFIRMATION_DELAY_MS = 150;

  private final EventLoop loop;
  private final Path file;
  private final Consumer<GatewaySettings> onChange;
  private GatewaySettings inForce;
  // The text that was last applied or rejected, and the one that awaits its confirmation.
  private String handledText;
  private String unconfirmedText;
  private boolean unreadable;

  /**
   * Creates a reloader.
   *
   * @param initialText the text from which {@code initial} was read
   */
  public SettingsReloader(
      EventLoop loop,
      Path file,
      String initialText,
      GatewaySettings initial,
      Consumer<GatewaySettings> onChange) {
    this.loop = loop;
    this.file = file;
    this.onChange = onChange;
    handledText = initialText;
    inForce = initial;
  }

  /** Begins to check the file periodically. */
  public void start() {
    loop.every(CHECK_INTERVAL_MS, this::check);
  }

  /** Reads the file now, because a signal said that it has changed. */
  public void onSignal() {
    if (!check()) {
      Logger.info("event=settings_unchanged file={}", file);
    }
  }

  /** Reads the file; returns whether its text differs from the text last handled. */
  private boolean check() {
    String text = readText();
    if (text == null || text.equals(handledText)) {
      unconfirmedText = null;
      return false;
    }
    if (text.equals(unconfirmedText)) {
      unconfirmedText = null;
      handledText = text;
      apply(text);
    } else {
      unconfirmedText = text;
      loop.after(CONFIRMATION_DELAY_MS, this::check);
    }
    return true;
  }

  /** Returns the text of the file, or null if it cannot be read. */
  private String readText() {
    try {
      String text = Files.readString(file);
      unreadable = false;
      return text;
    } catch (IOException e) {
      if (!unreadable) {
        Logger.error("event=settings_unreadable file={} reason=\"{}\"", file, e);
      }
      unreadable = true;
      return null;
    }
  }

  private void apply(String text) {
    GatewaySettings newer;
    try {
      newer = GatewaySettingsReader.parse(file.toString(), text);
    } catch (SettingsException e) {
      Logger.error("event=settings_rejected file={} reason=\"{}\"", file, e.getMessage());
      return;
    }
    SettingsChange change = SettingsChange.between(inForce, newer);
    inForce = inForce.withApplicable(newer);
    onChange.accept(inForce);
    Logger.info(
        "event=settings_read file={} applied={} restart_needed={}",
        file,
        change.applied(),
        change.restartNeeded());
  }
}
