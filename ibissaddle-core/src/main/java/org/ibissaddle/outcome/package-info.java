/**
 * What became of a request: typed outcomes and refusals, and the proof that a refused request was not run.
 *
 * <p>Start with {@link org.ibissaddle.outcome.Refusal} and {@link org.ibissaddle.outcome.Fate}.
 */
package org.ibissaddle.outcome;
