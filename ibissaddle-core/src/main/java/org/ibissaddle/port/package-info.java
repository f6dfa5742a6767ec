/**
 * Interfaces to external services, implemented by adapters. The platform, time and randomness are accessed only through
 * these ports.
 *
 * <p>Start with {@link org.ibissaddle.port.Clock}.
 */
package org.ibissaddle.port;
