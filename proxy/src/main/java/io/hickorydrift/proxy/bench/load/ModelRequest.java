package io.hickorydrift.proxy.bench.load;

/** A caller's request in the model. Thread safety: confined to one thread. */
final class ModelRequest {
  final LoadKind kind;
  final String organisation;
  final double firstMs;
  int attempts;

  ModelRequest(LoadKind kind, String organisation, double firstMs) {
    this.kind = kind;
    this.organisation = organisation;
    this.firstMs = firstMs;
  }

  double deadlineMs() {
    return firstMs + kind.deadlineMs();
  }
}
