/** Implementations of {@link org.ibissaddle.admission}. */
package org.ibissaddle.internal.admission;
