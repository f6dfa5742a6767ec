/**
 * Decides which requests are taken in, and in what order: limits, deadlines, priorities and fair shares.
 *
 * <p>Start with {@link org.ibissaddle.admission.Admissions}.
 */
package org.ibissaddle.admission;
