package io.hickorydrift.core.routing;

import io.hickorydrift.core.flow.ReadRequest;
import java.util.List;
import java.util.Set;

/** Decides which targets may serve a read, the best first. Implementations are stateless. */
public interface TargetChooser {
  /** Returns the targets to try, without those in {@code tried} and those that are leaving. */
  List<TargetView> rank(GroupView view, ReadRequest demand, Set<String> tried, long nowNanos);
}
