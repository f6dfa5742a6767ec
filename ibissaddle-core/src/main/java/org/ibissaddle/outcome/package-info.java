/**
 * Typed error responses, which state whether the request was executed.
 *
 * <p>Start with {@link org.ibissaddle.outcome.Refusal} and {@link org.ibissaddle.outcome.ExecutionStatus}.
 */
package org.ibissaddle.outcome;
