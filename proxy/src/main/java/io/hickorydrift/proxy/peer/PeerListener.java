package io.hickorydrift.proxy.peer;

/** Receives the messages of peers. Called from many threads; must not block. */
public interface PeerListener {
  /** Called when {@code message} arrives from the instance {@code peer}. */
  void onMessage(String peer, Record message);

  /** Called when the link to {@code peer} has closed; the last messages sent may be lost. */
  void onLinkClosed(String peer);
}
