package io.hickorydrift.proxy.bench;

import java.util.List;

/**
 * The sizes of the two users' deployments. Network delay between failure domains is not imitated.
 *
 * <p>Thread safety: stateless.
 */
final class Deployments {
  private Deployments() {}

  /** Four failure domains, three groups, 20 connections a target, 10 ms for a new one. */
  static FleetPlan.Builder pages() {
    return FleetPlan.builder()
        .domains(List.of("apapa", "ikeja", "lekki", "yaba"))
        .instances(7)
        .groups(3)
        .organisations(8)
        .connections(20, 10);
  }

  /** Three failure domains, three groups, 30 connections a target, 30 ms for a new one. */
  static FleetPlan.Builder lakeshore() {
    return FleetPlan.builder()
        .domains(List.of("east", "north", "west"))
        .instances(7)
        .groups(3)
        .organisations(8)
        .connections(30, 30);
  }
}
