/**
 * Admission control: decides which requests are accepted and in what order, by limits, deadlines, priorities and fair
 * queueing.
 *
 * <p>Start with {@link org.ibissaddle.admission.Admissions}.
 */
package org.ibissaddle.admission;
