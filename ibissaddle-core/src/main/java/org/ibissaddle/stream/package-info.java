/**
 * Whole answers: accepts the pieces of a streamed answer, relays each character once and in order, and decides how an
 * answer goes on after a cut.
 *
 * <pre>{@code
 * AnswerGuard guard = AnswerGuard.of(request, KEPT_CHARS);
 * switch (guard.accept(piece)) {
 *     case Verdict.Relay relay -> write(relay.text());
 *     case Verdict.Drop drop -> count(drop.reason());
 *     case Verdict.Broken broken -> recover(broken.reason());
 * }
 * }</pre>
 */
package org.ibissaddle.stream;
