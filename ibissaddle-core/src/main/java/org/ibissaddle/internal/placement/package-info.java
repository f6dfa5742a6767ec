/** Implementations of {@link org.ibissaddle.placement}. */
package org.ibissaddle.internal.placement;
