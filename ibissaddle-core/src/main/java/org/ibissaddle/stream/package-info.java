/**
 * Delivery of complete streamed responses: checks chunks so that each character is relayed once and in order, and
 * decides how to recover a response after its connection was lost.
 *
 * <pre>{@code
 * AnswerGuard guard = AnswerGuard.of(request, MAX_RETAINED_CHARS);
 * switch (guard.accept(piece)) {
 *     case Verdict.Relay relay -> write(relay.text());
 *     case Verdict.Drop drop -> count(drop.reason());
 *     case Verdict.Broken broken -> recover(broken.reason());
 * }
 * }</pre>
 */
package org.ibissaddle.stream;
