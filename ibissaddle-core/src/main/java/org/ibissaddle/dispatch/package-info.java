/**
 * Dispatch of a call from its first write to its outcome: the decision after each attempt, and the ledger of calls that
 * must be executed at most once.
 *
 * <pre>{@code
 * switch (ledger.claim(ticket, nowMs)) {
 *     case Claim.Run run -> dispatch(run.permit());
 *     case Claim.Wait wait -> wait.outcome().thenAccept(this::answer);
 *     case Claim.Known known -> answer(known.outcome());
 *     case Claim.OwnedElsewhere elsewhere -> forward(elsewhere.owner());
 * }
 * }</pre>
 */
package org.ibissaddle.dispatch;
