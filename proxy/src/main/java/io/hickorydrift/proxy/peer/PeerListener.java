package io.hickorydrift.proxy.peer;

/** Takes what peers send. Called from many threads; must not block. */
public interface PeerListener {
  /** The instance {@code peer} sent {@code message}. */
  void onMessage(String peer, Record message);

  /** The link to {@code peer} broke; what was sent last may be lost. */
  void onLinkClosed(String peer);
}
