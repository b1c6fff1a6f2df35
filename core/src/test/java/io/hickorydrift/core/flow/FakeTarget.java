package io.hickorydrift.core.flow;

import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.message.TargetAnswer;
import io.hickorydrift.core.message.TargetRequest;
import io.hickorydrift.core.message.TargetStatus;
import io.hickorydrift.core.position.Positions;
import java.util.ArrayList;
import java.util.List;

/** A target reduced to its log, term and fence. */
final class FakeTarget {
  /** An entry of the log; the request id is null for the first entry of a term. */
  record Entry(long term, String requestId) {}

  final String id;
  final List<Entry> log = new ArrayList<>();
  long term;
  String primary;

  FakeTarget(String id) {
    this.id = id;
  }

  Position lastPosition() {
    return log.isEmpty()
        ? Positions.START
        : new Position(log.get(log.size() - 1).term(), log.size());
  }

  TargetAnswer exchange(TargetRequest request) {
    switch (request.op()) {
      case WRITE:
        return write(request);
      case READ:
        if (request.term() != term) {
          return answer(TargetStatus.WRONG_TERM, null, false);
        }
        return answer(
            Positions.reaches(lastPosition(), request.position())
                ? TargetStatus.OK
                : TargetStatus.BEHIND,
            null,
            false);
      case FENCE:
        return fence(request.term());
      case PROMOTE:
        return promote(request.term());
      default:
        return answer(TargetStatus.OK, null, false);
    }
  }

  private TargetAnswer write(TargetRequest request) {
    if (request.term() != term) {
      return answer(TargetStatus.WRONG_TERM, null, false);
    }
    if (!id.equals(primary)) {
      return answer(TargetStatus.NOT_PRIMARY, null, false);
    }
    for (Entry entry : log) {
      if (request.requestId().equals(entry.requestId())) {
        return answer(TargetStatus.OK, lastPosition(), true);
      }
    }
    log.add(new Entry(term, request.requestId()));
    return answer(TargetStatus.OK, lastPosition(), false);
  }

  private TargetAnswer fence(long newTerm) {
    if (newTerm < term || (newTerm == term && primary != null)) {
      return answer(TargetStatus.WRONG_TERM, null, false);
    }
    term = newTerm;
    primary = null;
    return answer(TargetStatus.OK, null, false);
  }

  private TargetAnswer promote(long newTerm) {
    if (newTerm == term && id.equals(primary)) {
      return answer(TargetStatus.OK, null, false);
    }
    if (newTerm != term || primary != null) {
      return answer(TargetStatus.WRONG_TERM, null, false);
    }
    primary = id;
    log.add(new Entry(term, null));
    return answer(TargetStatus.OK, null, false);
  }

  /** Takes in the log of a primary, up to {@code most} entries past what both have in common. */
  void replicateFrom(FakeTarget from, int most) {
    if (!from.id.equals(from.primary) || from.term < term) {
      return;
    }
    term = from.term;
    primary = from.id;
    int common = 0;
    while (common < Math.min(log.size(), from.log.size())
        && log.get(common).equals(from.log.get(common))) {
      common++;
    }
    if (common < log.size()) {
      log.subList(common, log.size()).clear();
    }
    int end = Math.min(from.log.size(), common + most);
    log.addAll(from.log.subList(common, end));
  }

  private TargetAnswer answer(TargetStatus status, Position position, boolean duplicate) {
    return TargetAnswer.builder()
        .status(status)
        .term(term)
        .primary(primary)
        .applied(lastPosition())
        .logged(lastPosition())
        .position(position)
        .duplicate(duplicate)
        .build();
  }
}
