/**
 * Embeddable coordination components of a multi-region inference gateway.
 *
 * <p>Start with {@link org.ibissaddle.Ibissaddle}.
 */
package org.ibissaddle;
