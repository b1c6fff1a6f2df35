package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.answer.AnswerMatcher;
import io.hickorydrift.core.statement.ExpectedAnswer;
import io.hickorydrift.core.statement.TargetMessage;

/** Gets to know of messages of targets that do not answer the command that awaits an answer. */
interface AnswerObserver {
  /** Observes nothing. */
  AnswerObserver NONE = (connection, id, expected, received, verdict, finding) -> {};

  /**
   * Records a message that was ignored, or for which its connection is about to be closed.
   *
   * @param id the caller's id of the statement that awaits its answer, or {@code -}
   * @param expected the answer that is awaited, or null
   * @param received the message
   * @param verdict what follows from it
   * @param finding what the verdict rests on
   */
  void onUnexpected(
      TargetConnection connection,
      String id,
      ExpectedAnswer expected,
      TargetMessage received,
      AnswerMatcher.Verdict verdict,
      String finding);
}
