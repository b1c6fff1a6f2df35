package io.hickorydrift.proxy.port;

import io.hickorydrift.core.declaration.Declaration;
import io.hickorydrift.core.directory.TargetEntry;
import io.hickorydrift.proxy.net.EventLoop;

/** Makes what speaks to one platform. Found by {@link java.util.ServiceLoader}. */
public interface PlatformAdapter {
  /** Returns the codec for callers. */
  CallerCodec callerCodec();

  /** Returns the codec for targets. */
  TargetCodec targetCodec();

  /** Returns a client of the store at {@code address}. */
  KeyValueStore store(EventLoop loop, String address);

  /** Returns a client for promotion orders at {@code address}. */
  PromotionClient promotionClient(EventLoop loop, String address);

  /** Returns the store's key of the declaration. */
  String declarationKey();

  /** Returns the prefix of the store's keys of targets. */
  String targetsPrefix();

  /** Returns the path at which the balancer asks for readiness. */
  String readinessPath();

  /** Decodes the declaration; throws {@link IllegalArgumentException} if it is none. */
  Declaration decodeDeclaration(byte[] value);

  /** Decodes a target's entry, or returns null if it names no target that can be used. */
  TargetEntry decodeTarget(String key, byte[] value);
}
