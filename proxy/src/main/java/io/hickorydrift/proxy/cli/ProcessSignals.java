package io.hickorydrift.proxy.cli;

import java.util.ArrayList;
import java.util.List;
import org.tinylog.Logger;
import sun.misc.Signal;

/**
 * Receives the signals of an instance's process: SIGTERM and SIGINT request a stop, SIGHUP reports
 * that the settings file has changed. The virtual machine ends the process on a signal that has no
 * handler, so the handlers are installed before anything else.
 *
 * <p>Invariant: each signal is passed on exactly once; those that arrive before a listener is
 * attached are passed on when it is. Thread safety: safe.
 */
final class ProcessSignals {
  private static final String SETTINGS_CHANGED = "HUP";
  private static final List<String> STOP = List.of("TERM", "INT");

  /** Handles signals; called on a thread of the virtual machine. */
  interface Listener {
    /** The process is to stop. */
    void onStop(String signal);

    /** The settings file has changed. */
    void onSettingsChanged();
  }

  private static ProcessSignals installed;

  private final List<String> undelivered = new ArrayList<>();
  private Listener listener;

  private ProcessSignals() {}

  /** Installs the handlers, unless that has been done, and returns them. */
  static synchronized ProcessSignals install() {
    if (installed == null) {
      installed = new ProcessSignals();
      STOP.forEach(installed::handle);
      installed.handle(SETTINGS_CHANGED);
    }
    return installed;
  }

  private void handle(String name) {
    Signal.handle(new Signal(name), signal -> receive(name));
  }

  private void receive(String name) {
    synchronized (this) {
      if (listener == null) {
        undelivered.add(name);
      } else {
        deliver(name);
      }
    }
    // Last and outside of the lock, since a log that blocks must not hold back a signal.
    Logger.info("event=signal_received signal={}", name);
  }

  /** Passes all signals on to {@code newListener}. */
  synchronized void attach(Listener newListener) {
    listener = newListener;
    undelivered.forEach(this::deliver);
    undelivered.clear();
  }

  private void deliver(String name) {
    if (name.equals(SETTINGS_CHANGED)) {
      listener.onSettingsChanged();
    } else {
      listener.onStop(name);
    }
  }
}
