package io.hickorydrift.proxy.port;

import io.hickorydrift.core.declaration.Declaration;
import io.hickorydrift.core.directory.TargetEntry;
import io.hickorydrift.proxy.net.EventLoop;

/**
 * Factory for the codecs and clients of one platform, and decoder of its documents. Loaded by
 * {@link java.util.ServiceLoader}.
 */
public interface PlatformAdapter {
  /** Returns the codec for callers. */
  CallerCodec callerCodec();

  /** Returns the codec for targets. */
  TargetCodec targetCodec();

  /** Returns a client of the store at {@code address}. */
  KeyValueStore store(EventLoop loop, String address);

  /** Returns a client for promotion requests to {@code address}. */
  PromotionClient promotionClient(EventLoop loop, String address);

  /** Returns the store key of the declaration. */
  String declarationKey();

  /** Returns the store key prefix of the target entries. */
  String targetsPrefix();

  /**
   * Returns the store key prefix of the evacuations; the rest of a key is the failure domain that
   * is evacuated.
   */
  String evacuationsPrefix();

  /** Returns the path of the load balancer's readiness probe. */
  String readinessPath();

  /** Decodes a declaration; throws {@link IllegalArgumentException} if it is malformed. */
  Declaration decodeDeclaration(byte[] value);

  /**
   * Decodes a target entry; throws {@link IllegalArgumentException} if it does not describe a
   * target.
   */
  TargetEntry decodeTarget(String key, byte[] value);
}
