/**
 * The life of a call from its first write to its outcome: what to do after each attempt, and how a call that must run
 * at most once is claimed, run and remembered.
 *
 * <pre>{@code
 * switch (ledger.claim(ticket, nowMs)) {
 *     case Claim.Run run -> dispatch(run.permit());
 *     case Claim.Wait wait -> wait.outcome().thenAccept(this::answer);
 *     case Claim.Known known -> answer(known.outcome());
 *     case Claim.Elsewhere elsewhere -> forward(elsewhere.owner());
 * }
 * }</pre>
 */
package org.ibissaddle.dispatch;
