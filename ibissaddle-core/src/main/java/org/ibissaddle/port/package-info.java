/**
 * Ports to the outside, implemented by adapters: the platform, time and randomness are never reached otherwise.
 *
 * <p>Start with {@link org.ibissaddle.port.Clock}.
 */
package org.ibissaddle.port;
