/**
 * Coordination parts of a multi-region inference gateway, for embedding.
 *
 * <p>Start with {@link org.ibissaddle.Ibissaddle}.
 */
package org.ibissaddle;
