package io.hickorydrift.core.declaration;

/**
 * Declared settings of a database group; its targets register themselves.
 *
 * <p>Thread safety: immutable.
 *
 * @param name name of the group
 * @param maxConnections maximum number of connections from the whole fleet to each target
 * @param syncReplicas number of replicas that must receive a commit before it is acknowledged
 * @param coldDurationMs time for which a target is slow after its start
 * @param coldPerSecond maximum rate of requests from the whole fleet to a target that is slow after
 *     its start; 0 if there is no bound
 */
public record DeclaredGroup(
    String name, int maxConnections, int syncReplicas, long coldDurationMs, double coldPerSecond) {}
